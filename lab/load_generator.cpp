// An open-loop load of several classes, as the callers behind the platform's balancer.
#include "lab/load_generator.h"

#include "codec/json.h"
#include "generated/report.pb.h"
#include "telemetry/journal.h"
#include "transport/http_client.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>
#include <fstream>
#include <future>
#include <iostream>
#include <mutex>
#include <pcg_random.hpp>
#include <random>
#include <sstream>

namespace parsleyloft {

namespace {

namespace options = boost::program_options;

constexpr duration healthPeriod = 100ms;
constexpr duration healthTimeout = 300ms;
constexpr duration callTimeout = 30s;
constexpr std::size_t idlePerHost = 256;

// One part of the mix: a class, its rate, and the number of keys it draws from.
struct mix_part
{
    class_name name;
    double perSecond = 0;
    std::uint32_t keys = 0;
};

struct load_options
{
    std::vector<endpoint> hosts;
    std::vector<mix_part> mix;
    double seconds = 10;
    double zipf = 0.9;
    std::uint64_t seed = 1;
    std::string journalPath;
    std::string reportPath;
    std::string prefix = "load";
};

struct class_results
{
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> reasons;
    std::vector<std::int64_t> latenciesUs;
};

struct load_state
{
    load_options wanted;
    std::unique_ptr<worker_pool> pool;
    http_client client;
    journal events;
    std::mutex lock;
    // All guarded by lock.
    std::vector<bool> healthy;
    std::size_t nextHost = 0;
    pcg64 random;
    std::vector<std::vector<double>> keyShares;
    std::map<class_name, class_results> results;
    std::uint64_t nextId = 1;
    std::atomic<std::size_t> open = 0;
    instant end{};
};

auto split(const std::string &text, char by) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, by))
        parts.push_back(part);
    return parts;
}

auto parseMix(const std::string &text) -> result<std::vector<mix_part>>
{
    std::vector<mix_part> mix;
    for (const auto &part : split(text, ',')) {
        const auto fields = split(part, ':');
        if (fields.size() != 3)
            return failure(error_code::InvalidInput, "'" + part + "' is not class:rate:keys");
        mix_part parsed;
        parsed.name = fields[0];
        const auto &rate = fields[1];
        const auto &keys = fields[2];
        const auto readRate =
                std::from_chars(rate.data(), rate.data() + rate.size(), parsed.perSecond);
        const auto readKeys = std::from_chars(keys.data(), keys.data() + keys.size(), parsed.keys);
        if (readRate.ec != std::errc() || readKeys.ec != std::errc() || parsed.perSecond <= 0)
            return failure(error_code::InvalidInput, "'" + part + "' is not class:rate:keys");
        mix.push_back(parsed);
    }
    return mix;
}

// At least one host.
auto parseHosts(const std::string &text) -> result<std::vector<endpoint>>
{
    if (text.empty())
        return failure(error_code::InvalidInput, "at: must name a host");
    std::vector<endpoint> hosts;
    for (const auto &part : split(text, ',')) {
        const auto host = parseEndpoint(part);
        if (!host)
            return tl::unexpected(host.error());
        hosts.push_back(*host);
    }
    return hosts;
}

// Running sums of the keys' shares, for drawing by bisection.
auto zipfShares(std::uint32_t keys, double exponent) -> std::vector<double>
{
    std::vector<double> sums;
    double sum = 0;
    for (std::uint32_t rank = 1; rank <= keys; ++rank) {
        sum += 1 / std::pow(rank, exponent);
        sums.push_back(sum);
    }
    return sums;
}

auto drawKey(load_state &state, std::size_t part) -> std::string
{
    const auto &sums = state.keyShares[part];
    if (sums.empty())
        return {};
    std::uniform_real_distribution<double> draw(0, sums.back());
    const auto found = std::lower_bound(sums.begin(), sums.end(), draw(state.random));
    return "key-" + std::to_string(found - sums.begin());
}

// The next host in turn that the balancer holds for healthy.
auto chooseHost(load_state &state) -> std::size_t
{
    const auto count = std::max<std::size_t>(state.wanted.hosts.size(), 1);
    for (std::size_t step = 0; step < count; ++step) {
        const auto host = state.nextHost++ % count;
        if (state.healthy[host])
            return host;
    }
    return state.nextHost++ % count;
}

struct call_record
{
    class_name className;
    std::string id;
    std::string key;
    endpoint host;
    instant sentAt{};
};

auto toEvent(const call_record &call, wire::JournalKind kind) -> wire::JournalEvent
{
    wire::JournalEvent event;
    event.set_kind(kind);
    event.set_request_id(call.id);
    event.set_class_name(call.className);
    event.set_key(call.key);
    event.set_server_id(call.host.address + ":" + std::to_string(call.host.port));
    return event;
}

auto outcomeOf(const http_outcome &ended) -> std::string
{
    if (ended.failure == http_failure::NotSent)
        return "not_sent";
    if (ended.failure != http_failure::None)
        return "cut";
    return headerValue(ended.response.headers, "Parsleyloft-Outcome");
}

auto endCall(load_state &state, const call_record &call, const http_outcome &ended) -> void
{
    const auto latency = monotonicNow() - call.sentAt;
    const auto outcome = outcomeOf(ended);
    const auto own = ended.response.body == call.id + " body of " + call.id;
    auto event = toEvent(call, wire::JOURNAL_KIND_CALL_ENDED);
    event.set_outcome(outcome);
    event.set_reason(headerValue(ended.response.headers, "Parsleyloft-Reason"));
    event.set_answer_is_own(own);
    {
        const std::lock_guard guard(state.lock);
        auto &results = state.results[call.className];
        ++results.outcomes[outcome];
        if (outcome == "answered")
            results.latenciesUs.push_back(latency.count());
        else
            ++results.reasons[outcome + "/" + event.reason()];
    }
    recordEvent(state.events, std::move(event));
    --state.open;
}

auto sendCall(load_state &state, std::size_t part) -> void
{
    call_record call;
    {
        const std::lock_guard guard(state.lock);
        call.className = state.wanted.mix[part].name;
        call.id = state.wanted.prefix + "-" + std::to_string(state.nextId++);
        call.key = drawKey(state, part);
        call.host = state.wanted.hosts[chooseHost(state)];
    }
    call.sentAt = monotonicNow();
    recordEvent(state.events, toEvent(call, wire::JOURNAL_KIND_CALL_SENT));
    http_request request;
    request.method = "POST";
    request.target = "/v1/call/" + call.className;
    request.headers["Request-Id"] = call.id;
    if (!call.key.empty())
        request.headers["Key"] = call.key;
    request.body = "body of " + call.id;
    ++state.open;
    sendHttp(state.client, call.host, std::move(request), {callTimeout, {}},
             [&state, call](const http_outcome &ended) { endCall(state, call, ended); });
}

// Sends arrivals of one part at exponential distances, late ones at once.
auto arrive(load_state &state, std::size_t part, instant due) -> void
{
    if (due >= state.end)
        return;
    postAfter(*state.pool, std::max(due - monotonicNow(), duration::zero()), [&state, part, due] {
        sendCall(state, part);
        duration gap = 0us;
        {
            const std::lock_guard guard(state.lock);
            std::exponential_distribution<double> draw(state.wanted.mix[part].perSecond);
            gap = std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(draw(state.random)));
        }
        arrive(state, part, due + gap);
    });
}

auto checkHealth(load_state &state) -> void
{
    for (std::size_t index = 0; index < state.wanted.hosts.size(); ++index) {
        http_request request;
        request.target = "/health";
        sendHttp(state.client, state.wanted.hosts[index], std::move(request), {healthTimeout, {}},
                 [&state, index](const http_outcome &ended) {
                     const std::lock_guard guard(state.lock);
                     state.healthy[index] =
                             ended.failure == http_failure::None && ended.response.status == 200;
                 });
    }
}

auto percentile(std::vector<std::int64_t> &sorted, double share) -> double
{
    if (sorted.empty())
        return 0;
    const auto last = static_cast<double>(sorted.size() - 1);
    return static_cast<double>(sorted[static_cast<std::size_t>(last * share)]) / 1000.0;
}

auto makeReport(load_state &state) -> wire::LoadRunReport
{
    wire::LoadRunReport report;
    report.set_seed(state.wanted.seed);
    report.set_seconds(state.wanted.seconds);
    for (auto &[name, results] : state.results) {
        auto *added = report.add_classes();
        added->set_name(name);
        for (const auto &[outcome, count] : results.outcomes)
            (*added->mutable_outcomes())[outcome] = count;
        for (const auto &[why, count] : results.reasons)
            (*added->mutable_reasons())[why] = count;
        std::sort(results.latenciesUs.begin(), results.latenciesUs.end());
        added->set_p50_ms(percentile(results.latenciesUs, 0.5));
        added->set_p99_ms(percentile(results.latenciesUs, 0.99));
        added->set_p999_ms(percentile(results.latenciesUs, 0.999));
    }
    return report;
}

auto runToEnd(load_state &state) -> void
{
    const auto begin = monotonicNow();
    state.end = begin
            + std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>(state.wanted.seconds));
    checkHealth(state);
    postEvery(*state.pool, healthPeriod, [&state] {
        checkHealth(state);
        return monotonicNow() < state.end;
    });
    for (std::size_t part = 0; part < state.wanted.mix.size(); ++part)
        arrive(state, part, begin);
    std::promise<void> finished;
    postEvery(*state.pool, healthPeriod, [&] {
        if (monotonicNow() < state.end + 2 * healthPeriod || state.open > 0)
            return true;
        finished.set_value();
        return false;
    });
    finished.get_future().wait();
}

auto writeReport(const load_state &state, const wire::LoadRunReport &report) -> void
{
    const auto text = toJson(report, json_layout::Indented);
    if (state.wanted.reportPath.empty())
        std::cout << text;
    else
        std::ofstream(state.wanted.reportPath) << text;
}

auto parseLoad(const arguments &rest, load_options &wanted) -> std::optional<exit_code>
{
    std::string hosts;
    std::string mix;
    options::options_description known("options");
    known.add_options()("help", "show this text");
    known.add_options()("at", options::value(&hosts)->required(), "ip:port,... of entry hosts");
    known.add_options()("mix", options::value(&mix)->required(),
                        "class:rate:keys,... with 0 keys for a service without keys");
    known.add_options()("seconds", options::value(&wanted.seconds), "length of the load");
    known.add_options()("zipf", options::value(&wanted.zipf), "exponent of the keys' shares");
    known.add_options()("seed", options::value(&wanted.seed), "of arrivals and keys");
    known.add_options()("prefix", options::value(&wanted.prefix), "of the request ids");
    known.add_options()("journal", options::value(&wanted.journalPath), "file for events");
    known.add_options()("report", options::value(&wanted.reportPath), "file for the report");
    options::variables_map values;
    const auto ended = parseOptions(rest, known, {}, values);
    if (ended)
        return ended;
    const auto parsedHosts = parseHosts(hosts);
    const auto parsedMix = parseMix(mix);
    if (!parsedHosts || !parsedMix) {
        std::cerr << (parsedHosts ? parsedMix.error() : parsedHosts.error()).detail << "\n";
        return exit_code::Usage;
    }
    wanted.hosts = *parsedHosts;
    wanted.mix = *parsedMix;
    return std::nullopt;
}

} // namespace

auto runLoad(const arguments &rest) -> exit_code
{
    load_state state;
    const auto ended = parseLoad(rest, state.wanted);
    if (ended)
        return *ended;
    auto events = openJournal(state.wanted.journalPath, state.wanted.prefix);
    if (!events) {
        std::cerr << events.error().detail << "\n";
        return exit_code::Usage;
    }
    state.events = std::move(*events);
    constexpr unsigned workers = 2;
    state.pool = startWorkers(workers);
    state.client = makeHttpClient(*state.pool, idlePerHost);
    state.healthy.assign(state.wanted.hosts.size(), true);
    state.random.seed(state.wanted.seed);
    for (const auto &part : state.wanted.mix)
        state.keyShares.push_back(zipfShares(part.keys, state.wanted.zipf));
    runToEnd(state);
    stopWorkers(*state.pool);
    writeReport(state, makeReport(state));
    return exit_code::Success;
}

} // namespace parsleyloft
