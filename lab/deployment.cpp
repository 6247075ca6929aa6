// Derives the settings, command lines and service registrations of a test deployment.
#include "lab/deployment.h"

#include "codec/json.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace parsleyloft {

namespace {

constexpr auto loopback = "127.0.0.1";

struct port_source
{
    std::uint16_t next;
};

auto allocateAddress(port_source &ports) -> std::string
{
    return std::string(loopback) + ":" + std::to_string(ports.next++);
}

auto domainOf(const wire::Deployment &deployment, std::uint32_t index) -> std::string
{
    return deployment.failure_domains(static_cast<int>(
            index % static_cast<std::uint32_t>(deployment.failure_domains_size())));
}

auto toSettings(const wire::DeployedService &service) -> wire::ServiceSettings
{
    wire::ServiceSettings settings;
    settings.set_name(service.name());
    settings.set_keyed(service.keyed());
    settings.set_shards(service.shards());
    settings.set_checks_grants(service.checks_grants());
    return settings;
}

auto makeRegistration(const std::string &id, const std::string &service, const std::string &address,
                      const std::string &domain) -> wire::ListedService
{
    wire::ListedService entry;
    const auto colon = address.rfind(':');
    entry.set_id(id);
    entry.set_service(service);
    entry.set_address(address.substr(0, colon));
    entry.set_port(static_cast<std::uint32_t>(std::stoul(address.substr(colon + 1))));
    (*entry.mutable_meta())["failure_domain"] = domain;
    (*entry.mutable_meta())["state"] = "live";
    return entry;
}

auto planHost(const wire::Deployment &deployment, std::uint32_t index, const std::string &directory,
              const std::string &platform, port_source &ports) -> wire::Settings
{
    wire::Settings settings;
    settings.set_host_id("host-" + std::to_string(index + 1));
    settings.set_region(deployment.name());
    settings.set_failure_domain(domainOf(deployment, index));
    settings.set_caller_address(allocateAddress(ports));
    settings.set_peer_address(allocateAddress(ports));
    settings.set_platform_address(platform);
    for (const auto &service : deployment.services())
        *settings.add_services() = toSettings(service);
    settings.set_worker_threads(deployment.worker_threads());
    settings.set_log_level("info");
    settings.set_journal_path(directory + "/" + settings.host_id() + ".journal");
    settings.set_allow_link_cuts(true);
    return settings;
}

auto planBackend(const wire::Deployment &deployment, const wire::DeployedService &service,
                 std::uint32_t index, const std::string &directory, port_source &ports)
        -> planned_backend
{
    const auto id = service.name() + "-" + std::to_string(index + 1);
    const auto domain = domainOf(deployment, index);
    const auto address = allocateAddress(ports);
    planned_backend planned{id, makeRegistration(id, service.name(), address, domain), {}};
    (*planned.listed.mutable_meta())["slots"] = std::to_string(service.slots());
    planned.arguments = {"backend",
                         "--listen=" + address,
                         "--id=" + id,
                         "--service=" + service.name(),
                         "--domain=" + domain,
                         "--slots=" + std::to_string(service.slots()),
                         "--service-time-us=" + std::to_string(service.service_time_us()),
                         "--connection-cost-us=" + std::to_string(service.connection_cost_us()),
                         "--cold-answers=" + std::to_string(service.cold_answers()),
                         "--checks-grants=" + std::string(service.checks_grants() ? "1" : "0"),
                         "--seed=" + std::to_string(index + 1),
                         "--journal=" + directory + "/" + id + ".journal"};
    return planned;
}

auto planMix(const wire::Deployment &deployment) -> std::string
{
    std::string mix;
    for (const auto &part : deployment.load()) {
        mix += mix.empty() ? "" : ",";
        mix += part.class_name() + ":" + std::to_string(part.per_second()) + ":"
                + std::to_string(part.keys());
    }
    return mix;
}

// The arguments of the class command that sets this class.
auto classArguments(const wire::ClassOfWork &work) -> std::string
{
    return "set " + work.name() + " --service " + work.service() + " --max-wait-ms "
            + std::to_string(work.max_wait_ms()) + (work.may_repeat() ? " --may-repeat" : "")
            + " --max-refused-permille " + std::to_string(work.max_refused_permille());
}

auto writeHosts(const deployment_plan &plan, const std::string &directory) -> void
{
    std::ofstream hosts(directory + "/hosts");
    for (const auto &host : plan.hosts) {
        std::ofstream(directory + "/" + host.host_id() + ".json")
                << toJson(host, json_layout::Indented);
        hosts << host.host_id() << " " << host.caller_address() << " " << host.failure_domain()
              << "\n";
    }
}

auto writeBackends(const deployment_plan &plan, const std::string &directory) -> void
{
    std::ofstream backends(directory + "/backends");
    std::ofstream listedServices(directory + "/registrations");
    for (const auto &backend : plan.backends) {
        for (const auto &argument : backend.arguments)
            backends << argument << " ";
        backends << "\n";
        listedServices << toJson(backend.listed) << "\n";
    }
    for (const auto &host : plan.listedHosts)
        listedServices << toJson(host) << "\n";
}

} // namespace

auto planDeployment(const wire::Deployment &deployment, const std::string &directory,
                    std::uint16_t firstPort) -> deployment_plan
{
    deployment_plan plan;
    port_source ports{firstPort};
    plan.platformAddress = allocateAddress(ports);
    for (std::uint32_t index = 0; index < deployment.hosts(); ++index) {
        auto host = planHost(deployment, index, directory, plan.platformAddress, ports);
        auto entry = makeRegistration(host.host_id(), "parsleyloft", host.caller_address(),
                                      host.failure_domain());
        (*entry.mutable_meta())["peer_address"] = host.peer_address();
        plan.listedHosts.push_back(std::move(entry));
        plan.callerAddresses += (index == 0 ? "" : ",") + host.caller_address();
        plan.hosts.push_back(std::move(host));
    }
    for (auto &host : plan.hosts) {
        for (const auto &other : plan.hosts) {
            auto *peer = host.add_peers();
            peer->set_host_id(other.host_id());
            peer->set_peer_address(other.peer_address());
        }
    }
    for (const auto &service : deployment.services()) {
        for (std::uint32_t index = 0; index < service.servers(); ++index)
            plan.backends.push_back(planBackend(deployment, service, index, directory, ports));
    }
    plan.mix = planMix(deployment);
    return plan;
}

auto runPlan(const arguments &args) -> exit_code
{
    namespace options = boost::program_options;
    std::string path;
    std::string directory;
    std::uint16_t firstPort = 0;
    options::options_description description("options");
    description.add_options()("help", "show this help");
    description.add_options()("deployment", options::value(&path)->required(),
                              "deployment description, a JSON file");
    description.add_options()("directory", options::value(&directory)->required(),
                              "output directory");
    description.add_options()("first-port", options::value(&firstPort)->required(),
                              "first port, others follow consecutively");
    options::variables_map values;
    const auto exitCode = parseOptions(args, description, {}, values);
    if (exitCode)
        return *exitCode;
    const auto text = readFile(path);
    wire::Deployment deployment;
    const auto parsed = text ? readJson(*text, deployment) : tl::unexpected(text.error());
    if (!parsed || deployment.failure_domains_size() == 0) {
        std::cerr << path << ": "
                  << (parsed ? "the deployment has no failure domains" : parsed.error().detail)
                  << "\n";
        return exit_code::Usage;
    }
    std::filesystem::create_directories(directory);
    const auto plan = planDeployment(deployment, directory, firstPort);
    writeHosts(plan, directory);
    writeBackends(plan, directory);
    std::ofstream classes(directory + "/classes");
    for (const auto &work : deployment.classes())
        classes << classArguments(work) << "\n";
    std::ofstream(directory + "/platform") << plan.platformAddress << "\n";
    std::ofstream(directory + "/mix") << plan.mix << "\n";
    std::ofstream(directory + "/callers") << plan.callerAddresses << "\n";
    return exit_code::Success;
}

} // namespace parsleyloft
