// Generates an open-loop load of several classes, as from callers behind the platform's load
// balancer.
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

namespace program_options = boost::program_options;

constexpr duration healthCheckPeriod = 100ms;
constexpr duration healthCheckTimeout = 300ms;
constexpr duration callTimeout = 30s;
constexpr std::size_t maxIdlePerHost = 256;
// Range of the delay before a request whose outcome was unknown is sent again.
constexpr duration minRepeatDelay = 20ms;
constexpr duration maxRepeatDelay = 3s;

// One part of the mix: a class, its request rate, and the number of keys to draw from.
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
    // How often a request is sent again, marked as repeated, after an unknown outcome.
    std::uint32_t repeats = 0;
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
    load_options options;
    std::unique_ptr<worker_pool> pool;
    http_client client;
    journal events;
    std::mutex lock;
    // The members up to nextId are guarded by lock.
    std::vector<bool> healthy;
    std::size_t nextHost = 0;
    pcg64 random;
    // By part of the mix: running sums of the keys' shares.
    std::vector<std::vector<double>> keyShares;
    std::map<class_name, class_results> results;
    std::uint64_t nextId = 1;
    std::atomic<std::size_t> openCalls = 0;
    instant end{};
};

auto split(const std::string &text, char separator) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator))
        parts.push_back(part);
    return parts;
}

auto parseMix(const std::string &text) -> result<std::vector<mix_part>>
{
    std::vector<mix_part> mix;
    for (const auto &part : split(text, ',')) {
        const auto fields = split(part, ':');
        if (fields.size() != 3)
            return failure(error_code::InvalidInput,
                           "'" + part + "' is not of the form class:rate:keys");
        mix_part parsed;
        parsed.name = fields[0];
        const auto &rate = fields[1];
        const auto &keys = fields[2];
        const auto readRate =
                std::from_chars(rate.data(), rate.data() + rate.size(), parsed.perSecond);
        const auto readKeys = std::from_chars(keys.data(), keys.data() + keys.size(), parsed.keys);
        if (readRate.ec != std::errc() || readKeys.ec != std::errc() || parsed.perSecond <= 0)
            return failure(error_code::InvalidInput,
                           "'" + part + "' is not of the form class:rate:keys");
        mix.push_back(parsed);
    }
    return mix;
}

// Parses a list of host addresses. Fails if it is empty.
auto parseHosts(const std::string &text) -> result<std::vector<endpoint>>
{
    if (text.empty())
        return failure(error_code::InvalidInput, "--at must name at least one host");
    std::vector<endpoint> hosts;
    for (const auto &part : split(text, ',')) {
        const auto host = parseEndpoint(part);
        if (!host)
            return tl::unexpected(host.error());
        hosts.push_back(*host);
    }
    return hosts;
}

// Running sums of the keys' shares under a Zipf distribution, for drawing by binary search.
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

// Returns the next healthy host in round-robin order, or the next host if none is healthy.
auto chooseHost(load_state &state) -> std::size_t
{
    const auto count = std::max<std::size_t>(state.options.hosts.size(), 1);
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
    std::uint32_t repeats = 0;
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

auto outcomeOf(const http_outcome &httpOutcome) -> std::string
{
    if (httpOutcome.failure == http_failure::NotSent)
        return "not_sent";
    if (httpOutcome.failure != http_failure::None)
        return "cut";
    return headerValue(httpOutcome.response.headers, "Parsleyloft-Outcome");
}

auto repeatLater(load_state &state, call_record call) -> void;

auto endCall(load_state &state, const call_record &call, const http_outcome &httpOutcome) -> void
{
    const auto latency = monotonicNow() - call.sentAt;
    const auto outcome = outcomeOf(httpOutcome);
    const auto isOwn = httpOutcome.response.body == call.id + " body of " + call.id;
    auto event = toEvent(call, wire::JOURNAL_KIND_CALL_ENDED);
    event.set_outcome(outcome);
    event.set_reason(headerValue(httpOutcome.response.headers, "Parsleyloft-Reason"));
    event.set_answer_is_own(isOwn);
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
    const auto mayHaveRun = outcome == "unknown" || outcome == "cut";
    if (mayHaveRun && call.repeats < state.options.repeats)
        repeatLater(state, call);
    else
        --state.openCalls;
}

// The call counts as open already.
auto send(load_state &state, const call_record &call) -> void
{
    recordEvent(state.events, toEvent(call, wire::JOURNAL_KIND_CALL_SENT));
    http_request request;
    request.method = "POST";
    request.target = "/v1/call/" + call.className;
    request.headers["Request-Id"] = call.id;
    if (!call.key.empty())
        request.headers["Key"] = call.key;
    if (call.repeats > 0)
        request.headers["Repeated"] = "yes";
    request.body = "body of " + call.id;
    sendHttp(
            state.client, call.host, std::move(request), {callTimeout, {}},
            [&state, call](const http_outcome &httpOutcome) { endCall(state, call, httpOutcome); });
}

auto repeatLater(load_state &state, call_record call) -> void
{
    ++call.repeats;
    duration delay{};
    {
        const std::lock_guard guard(state.lock);
        std::uniform_int_distribution<std::int64_t> draw(minRepeatDelay.count(),
                                                         maxRepeatDelay.count());
        delay = duration(draw(state.random));
    }
    postAfter(*state.pool, delay, [&state, call]() mutable {
        {
            const std::lock_guard guard(state.lock);
            call.host = state.options.hosts[chooseHost(state)];
        }
        call.sentAt = monotonicNow();
        send(state, call);
    });
}

auto sendCall(load_state &state, std::size_t part) -> void
{
    call_record call;
    {
        const std::lock_guard guard(state.lock);
        call.className = state.options.mix[part].name;
        call.id = state.options.prefix + "-" + std::to_string(state.nextId++);
        call.key = drawKey(state, part);
        call.host = state.options.hosts[chooseHost(state)];
    }
    call.sentAt = monotonicNow();
    ++state.openCalls;
    send(state, call);
}

// Schedules the calls of one part of the mix as a Poisson process. Calls that are late are sent
// immediately.
auto scheduleCalls(load_state &state, std::size_t part, instant due) -> void
{
    if (due >= state.end)
        return;
    postAfter(*state.pool, std::max(due - monotonicNow(), duration::zero()), [&state, part, due] {
        sendCall(state, part);
        duration interval = 0us;
        {
            const std::lock_guard guard(state.lock);
            std::exponential_distribution<double> draw(state.options.mix[part].perSecond);
            interval = std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(draw(state.random)));
        }
        scheduleCalls(state, part, due + interval);
    });
}

auto checkHealth(load_state &state) -> void
{
    for (std::size_t index = 0; index < state.options.hosts.size(); ++index) {
        http_request request;
        request.target = "/health";
        sendHttp(state.client, state.options.hosts[index], std::move(request),
                 {healthCheckTimeout, {}}, [&state, index](const http_outcome &httpOutcome) {
                     const std::lock_guard guard(state.lock);
                     state.healthy[index] = httpOutcome.failure == http_failure::None
                             && httpOutcome.response.status == 200;
                 });
    }
}

// A percentile in milliseconds of sorted values in microseconds.
auto percentileMs(std::vector<std::int64_t> &sortedUs, double share) -> double
{
    if (sortedUs.empty())
        return 0;
    const auto last = static_cast<double>(sortedUs.size() - 1);
    return static_cast<double>(sortedUs[static_cast<std::size_t>(last * share)]) / 1000.0;
}

auto makeReport(load_state &state) -> wire::LoadRunReport
{
    wire::LoadRunReport report;
    report.set_seed(state.options.seed);
    report.set_seconds(state.options.seconds);
    for (auto &[name, results] : state.results) {
        auto *added = report.add_classes();
        added->set_name(name);
        for (const auto &[outcome, count] : results.outcomes)
            (*added->mutable_outcomes())[outcome] = count;
        for (const auto &[reason, count] : results.reasons)
            (*added->mutable_reasons())[reason] = count;
        std::sort(results.latenciesUs.begin(), results.latenciesUs.end());
        added->set_p50_ms(percentileMs(results.latenciesUs, 0.5));
        added->set_p99_ms(percentileMs(results.latenciesUs, 0.99));
        added->set_p999_ms(percentileMs(results.latenciesUs, 0.999));
    }
    return report;
}

// Generates the load for the configured time and waits for the last calls.
auto generateLoad(load_state &state) -> void
{
    const auto begin = monotonicNow();
    state.end = begin
            + std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>(state.options.seconds));
    checkHealth(state);
    postEvery(*state.pool, healthCheckPeriod, [&state] {
        checkHealth(state);
        return monotonicNow() < state.end;
    });
    for (std::size_t part = 0; part < state.options.mix.size(); ++part)
        scheduleCalls(state, part, begin);
    std::promise<void> finished;
    postEvery(*state.pool, healthCheckPeriod, [&] {
        if (monotonicNow() < state.end + 2 * healthCheckPeriod || state.openCalls > 0)
            return true;
        finished.set_value();
        return false;
    });
    finished.get_future().wait();
}

auto writeReport(const load_state &state, const wire::LoadRunReport &report) -> void
{
    const auto text = toJson(report, json_layout::Indented);
    if (state.options.reportPath.empty())
        std::cout << text;
    else
        std::ofstream(state.options.reportPath) << text;
}

auto parseLoadOptions(const arguments &args, load_options &parsed) -> std::optional<exit_code>
{
    std::string hosts;
    std::string mix;
    program_options::options_description description("options");
    description.add_options()("help", "show this help");
    description.add_options()("at", program_options::value(&hosts)->required(),
                              "ip:port,... of the entry hosts");
    description.add_options()("mix", program_options::value(&mix)->required(),
                              "class:rate:keys,... with 0 keys for services without keys");
    description.add_options()("seconds", program_options::value(&parsed.seconds),
                              "duration of the load");
    description.add_options()("zipf", program_options::value(&parsed.zipf),
                              "exponent of the Zipf distribution of keys");
    description.add_options()("seed", program_options::value(&parsed.seed),
                              "seed of arrival times and keys");
    description.add_options()("repeats", program_options::value(&parsed.repeats),
                              "how often a request of unknown outcome is sent again");
    description.add_options()("prefix", program_options::value(&parsed.prefix),
                              "prefix of the request ids");
    description.add_options()("journal", program_options::value(&parsed.journalPath),
                              "journal file for events");
    description.add_options()("report", program_options::value(&parsed.reportPath),
                              "report file, instead of standard output");
    program_options::variables_map values;
    const auto exitCode = parseOptions(args, description, {}, values);
    if (exitCode)
        return exitCode;
    const auto parsedHosts = parseHosts(hosts);
    const auto parsedMix = parseMix(mix);
    if (!parsedHosts || !parsedMix) {
        std::cerr << (parsedHosts ? parsedMix.error() : parsedHosts.error()).detail << "\n";
        return exit_code::Usage;
    }
    parsed.hosts = *parsedHosts;
    parsed.mix = *parsedMix;
    return std::nullopt;
}

} // namespace

auto runLoad(const arguments &args) -> exit_code
{
    load_state state;
    const auto exitCode = parseLoadOptions(args, state.options);
    if (exitCode)
        return *exitCode;
    auto events = openJournal(state.options.journalPath, state.options.prefix);
    if (!events) {
        std::cerr << events.error().detail << "\n";
        return exit_code::Usage;
    }
    state.events = std::move(*events);
    constexpr unsigned workers = 2;
    state.pool = startWorkers(workers);
    state.client = makeHttpClient(*state.pool, maxIdlePerHost);
    state.healthy.assign(state.options.hosts.size(), true);
    state.random.seed(state.options.seed);
    for (const auto &part : state.options.mix)
        state.keyShares.push_back(zipfShares(part.keys, state.options.zipf));
    generateLoad(state);
    stopWorkers(*state.pool);
    writeReport(state, makeReport(state));
    return exit_code::Success;
}

} // namespace parsleyloft
