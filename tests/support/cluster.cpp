// A small deployment of real processes on loopback, for tests of failures.
#include "tests/support/cluster.h"

#include "codec/json.h"
#include "command/subcommand.h"
#include "lab/auditor.h"
#include "telemetry/journal.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace parsleyloft {

namespace {

auto spawn(cluster &cluster, const std::string &name, const std::string &program,
           std::vector<std::string> arguments) -> void
{
    const auto pid = spawnProcess(program, std::move(arguments), "/dev/null",
                                  cluster.directory + "/" + name + ".log");
    cluster.processes[name] = pid;
}

auto registerService(cluster &cluster, const wire::ListedService &service) -> void
{
    waitUntil("the platform accepts registrations", [&] {
        http_request request;
        request.method = "PUT";
        request.target = "/v1/agent/service/register";
        request.body = toJson(service);
        const auto target = *parseEndpoint(cluster.plan.platformAddress);
        return callAndWait(cluster.client, target, request, 2s).response.status == 200;
    });
}

auto setClass(cluster &cluster, const wire::ClassOfWork &work) -> void
{
    waitUntil("a host accepts class " + work.name(), [&] {
        http_request request;
        request.method = "PUT";
        request.target = "/v1/classes/" + work.name();
        request.body = toJson(work);
        const auto target = *parseEndpoint(cluster.plan.hosts.front().caller_address());
        const auto result = callAndWait(cluster.client, target, request, 5s);
        return result.failure == http_failure::None && result.response.status == 200;
    });
}

auto readDeployment() -> wire::Deployment
{
    wire::Deployment description;
    const auto text = readFile(PARSLEYLOFT_SOURCE_DIR "/tests/support/small.json");
    REQUIRE(text);
    REQUIRE(readJson(*text, description));
    return description;
}

auto loadReportPath(const cluster &cluster, const std::string &prefix) -> std::string
{
    return cluster.directory + "/" + prefix + ".report";
}

auto readReport(const std::string &path) -> wire::LoadRunReport
{
    wire::LoadRunReport report;
    const auto text = readFile(path);
    REQUIRE(text);
    REQUIRE(readJson(*text, report));
    return report;
}

auto shardsHeld(const wire::Dump &dump) -> bool
{
    for (const auto &service : dump.table().shards()) {
        if (service.phases_size() == 0)
            return false;
        for (const auto phase : service.phases()) {
            if (phase != wire::ASSIGNMENT_PHASE_HELD)
                return false;
        }
    }
    for (const auto &group : dump.table().groups()) {
        if (group.phase() != wire::ASSIGNMENT_PHASE_HELD)
            return false;
    }
    return dump.table().shards_size() > 0;
}

} // namespace

cluster::cluster()
    : cluster(readDeployment(), {})
{ }

cluster::cluster(const wire::Deployment &description,
                 const std::vector<wire::ListedService> &others)
    : deployment(description)
{
    auto name = (std::filesystem::temp_directory_path() / "parsleyloft-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    directory = name;
    plan = planDeployment(deployment, directory, ports.firstPort);
    spawn(*this, "platform", PARSLEYLOFT_LAB,
          {"platform", "--listen=" + plan.platformAddress,
           "--journal=" + directory + "/platform.journal"});
    for (const auto &backend : plan.backends)
        spawn(*this, backend.id, PARSLEYLOFT_LAB, backend.arguments);
    for (const auto &backend : plan.backends)
        registerService(*this, backend.listed);
    for (const auto &other : others)
        registerService(*this, other);
    for (const auto &host : plan.listedHosts)
        registerService(*this, host);
    for (const auto &host : plan.hosts)
        startHost(*this, host.host_id());
    for (const auto &work : deployment.classes())
        setClass(*this, work);
    waitUntil("a new cluster owns all shards", [this] { return allShardsOwned(*this); });
}

cluster::~cluster()
{
    for (const auto &[name, pid] : processes) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    stopWorkers(*workers);
    if (std::getenv("PARSLEYLOFT_KEEP") == nullptr)
        std::filesystem::remove_all(directory);
}

auto sendSignal(cluster &cluster, const std::string &name, int signal) -> void
{
    REQUIRE(cluster.processes.contains(name));
    kill(cluster.processes[name], signal);
}

auto awaitExit(cluster &cluster, const std::string &name) -> int
{
    int status = 0;
    waitUntil(name + " ends",
              [&] { return waitpid(cluster.processes[name], &status, WNOHANG) != 0; });
    cluster.processes.erase(name);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

auto startHost(cluster &cluster, const std::string &name) -> void
{
    const auto found = std::find_if(cluster.plan.hosts.begin(), cluster.plan.hosts.end(),
                                    [&](const auto &host) { return host.host_id() == name; });
    REQUIRE(found != cluster.plan.hosts.end());
    const auto path = cluster.directory + "/" + name + ".json";
    std::ofstream(path) << toJson(*found);
    spawn(cluster, name, PARSLEYLOFT_PROGRAM, {"serve", "--settings=" + path});
}

auto startLoad(cluster &cluster, const std::string &prefix, double seconds, double factor) -> void
{
    std::string mix;
    for (const auto &part : cluster.deployment.load())
        mix += (mix.empty() ? "" : ",") + part.class_name() + ":"
                + std::to_string(part.per_second() * factor) + ":" + std::to_string(part.keys());
    spawn(cluster, prefix, PARSLEYLOFT_LAB,
          {"load", "--at=" + cluster.plan.callerAddresses, "--mix=" + mix,
           "--seconds=" + std::to_string(seconds), "--prefix=" + prefix, "--repeats=2",
           "--journal=" + cluster.directory + "/" + prefix + ".journal",
           "--report=" + loadReportPath(cluster, prefix)});
}

auto awaitLoad(cluster &cluster, const std::string &prefix) -> wire::LoadRunReport
{
    REQUIRE(awaitExit(cluster, prefix) == 0);
    return readReport(loadReportPath(cluster, prefix));
}

auto awaitCalls(cluster &cluster, const std::string &prefix, std::uint64_t count) -> void
{
    const auto path = cluster.directory + "/" + prefix + ".journal";
    const auto countEndedCalls = [&] {
        std::ifstream file(path);
        std::string line;
        std::uint64_t calls = 0;
        while (std::getline(file, line))
            calls += line.find("CALL_ENDED") == std::string::npos ? 0 : 1;
        return calls;
    };
    const auto before = countEndedCalls();
    waitUntil("calls end", [&] { return countEndedCalls() >= before + count; });
}

auto callerAddress(const cluster &cluster, const std::string &host) -> std::string
{
    for (const auto &planned : cluster.plan.hosts) {
        if (planned.host_id() == host)
            return planned.caller_address();
    }
    return {};
}

auto postRequest(cluster &cluster, const std::string &address, const std::string &target,
                 const std::string &body) -> http_response
{
    http_request request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    return callAndWait(cluster.client, *parseEndpoint(address), request, 10s).response;
}

auto callClass(cluster &cluster, const std::string &host, const std::string &className,
               const std::string &id, const std::string &key) -> http_response
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/call/" + className;
    request.headers["Request-Id"] = id;
    if (!key.empty())
        request.headers["Key"] = key;
    request.body = "body of " + id;
    const auto target = *parseEndpoint(callerAddress(cluster, host));
    return callAndWait(cluster.client, target, request, 20s).response;
}

auto fetchDump(cluster &cluster, const std::string &host) -> std::optional<wire::Dump>
{
    http_request request;
    request.target = "/v1/dump";
    const auto target = *parseEndpoint(callerAddress(cluster, host));
    const auto result = callAndWait(cluster.client, target, request, 2s);
    wire::Dump dump;
    if (result.failure != http_failure::None || !readJson(result.response.body, dump))
        return std::nullopt;
    return dump;
}

auto findLeader(cluster &cluster) -> std::string
{
    std::string leader;
    waitUntil("a host leads", [&] {
        for (const auto &host : cluster.plan.hosts) {
            if (!cluster.processes.contains(host.host_id()))
                continue;
            const auto dump = fetchDump(cluster, host.host_id());
            if (dump && dump->role() == "leader" && dump->licensed())
                leader = host.host_id();
        }
        return !leader.empty();
    });
    return leader;
}

auto findHolder(cluster &cluster, const std::string &service, const std::string &domain)
        -> std::string
{
    const auto dump = fetchDump(cluster, findLeader(cluster));
    REQUIRE(dump);
    for (const auto &group : dump->table().groups()) {
        if (group.service() == service && group.failure_domain() == domain)
            return group.holder();
    }
    return {};
}

auto allShardsOwned(cluster &cluster) -> bool
{
    return std::all_of(cluster.plan.hosts.begin(), cluster.plan.hosts.end(), [&](const auto &host) {
        if (!cluster.processes.contains(host.host_id()))
            return true;
        const auto dump = fetchDump(cluster, host.host_id());
        return dump && shardsHeld(*dump) && dump->lease_left_us() > 0;
    });
}

auto setPlatformFaults(cluster &cluster, const std::string &faults) -> void
{
    REQUIRE(postRequest(cluster, cluster.plan.platformAddress, "/test/faults", faults).status
            == 200);
}

auto setBackendFaults(cluster &cluster, const std::string &backend, const std::string &faults)
        -> void
{
    for (const auto &planned : cluster.plan.backends) {
        if (planned.id != backend)
            continue;
        const auto address = planned.listed.address() + ":" + std::to_string(planned.listed.port());
        REQUIRE(postRequest(cluster, address, "/test/faults", faults).status == 200);
    }
}

auto setListedState(cluster &cluster, const std::string &backend, const std::string &state) -> void
{
    for (const auto &planned : cluster.plan.backends) {
        if (planned.id != backend)
            continue;
        auto listed = planned.listed;
        (*listed.mutable_meta())["state"] = state;
        registerService(cluster, listed);
    }
}

auto setDomainCut(cluster &cluster, const std::string &domain, bool cut) -> void
{
    for (const auto &host : cluster.plan.hosts) {
        const auto inDomain = host.failure_domain() == domain;
        std::string peers;
        for (const auto &other : cluster.plan.hosts) {
            if ((other.failure_domain() == domain) != inDomain)
                peers += (peers.empty() ? "\"" : ",\"") + other.host_id() + "\"";
        }
        const auto body = cut
                ? "{\"peers\":[" + peers + "],\"platform\":" + (inDomain ? "true" : "false") + "}"
                : std::string("{}");
        REQUIRE(postRequest(cluster, host.caller_address(), "/test/links", body).status == 200);
    }
}

auto checkAudit(cluster &cluster) -> wire::AuditReport
{
    event_list events;
    for (const auto &entry : std::filesystem::directory_iterator(cluster.directory)) {
        if (entry.path().extension() != ".journal")
            continue;
        auto journal = readJournal(entry.path().string());
        REQUIRE(journal);
        std::move(journal->begin(), journal->end(), std::back_inserter(events));
    }
    std::stable_sort(events.begin(), events.end(), [](const auto &left, const auto &right) {
        return left.at_us() < right.at_us();
    });
    const auto report = auditEvents(events);
    std::string breaches;
    for (const auto &breach : report.breaches())
        breaches += breach.invariant() + ": " + breach.detail() + "\n";
    INFO(breaches);
    CHECK(report.breaches_size() == 0);
    CHECK(report.runs() > 0);
    CHECK(report.calls() > 0);
    WARN("runs " << report.runs() << ", calls " << report.calls() << ", owner changes "
                 << report.owner_changes() << ", gaps " << report.gaps() << ", p50 "
                 << report.gap_p50_ms() << " ms, max " << report.gap_max_ms() << " ms");
    return report;
}

auto countOutcomes(const wire::LoadRunReport &report, const std::string &className,
                   const std::string &outcome) -> std::uint64_t
{
    for (const auto &work : report.classes()) {
        if (work.name() != className)
            continue;
        const auto found = work.outcomes().find(outcome);
        return found == work.outcomes().end() ? 0 : found->second;
    }
    return 0;
}

} // namespace parsleyloft
