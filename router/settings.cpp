// Reads and validates the settings of a routing host.
#include "router/settings.h"

#include "codec/json.h"
#include "core/endpoint.h"
#include "decisions/account_quota.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

constexpr std::uint32_t defaultHeldAnswerKb = 256;
// An answer that is held needs more memory than this on no host.
constexpr std::uint32_t maxHeldAnswerKb = 64 * 1024;
// A share that leaves the rest of the memory to the process itself, the kernel's buffers and the
// one body that may exceed it.
constexpr std::uint32_t defaultRequestMemoryPercent = 40;
constexpr std::uint32_t maxRequestMemoryPercent = 80;
// A server's host is often as small as this one.
constexpr std::uint32_t defaultServerBodyKb = 8 * 1024;

// A pipeline serves a segment or two of short requests.
constexpr std::uint32_t defaultPipelinedRequests = 16;
// Requests of one connection are searched in order.
constexpr std::uint32_t maxPipelinedRequests = 256;
constexpr std::uint32_t defaultPipelinedKb = 256;
constexpr std::uint32_t maxPipelinedKb = 64 * 1024;
constexpr double maxHedgingPercent = 100;

auto addFault(std::string &faults, const std::string &path, const std::string &value,
              const std::string &allowed) -> void
{
    faults += path + ": '" + value + "' is not allowed; " + allowed + "\n";
}

auto checkAddress(std::string &faults, const std::string &path, const std::string &value) -> void
{
    if (!parseEndpoint(value))
        addFault(faults, path, value, "an IP address and a port, like 10.0.0.1:8080");
}

auto checkMaximum(std::string &faults, const std::string &path, std::uint32_t value,
                  std::uint32_t maximum) -> void
{
    if (value > maximum)
        addFault(faults, path, std::to_string(value), "at most " + std::to_string(maximum));
}

auto checkBounds(std::string &faults, const wire::HostBounds &bounds) -> void
{
    if (bounds.drain_ms() == 0)
        addFault(faults, "bounds.drain_ms", "0", "milliseconds above 0");
    if (bounds.grace_s() <= 0)
        addFault(faults, "bounds.grace_s", std::to_string(bounds.grace_s()), "seconds above 0");
    if (bounds.repeat_ratio() < 0 || bounds.repeat_ratio() > 1)
        addFault(faults, "bounds.repeat_ratio", std::to_string(bounds.repeat_ratio()),
                 "a share from 0 to 1");
    if (bounds.repeat_window_s() <= 0)
        addFault(faults, "bounds.repeat_window_s", std::to_string(bounds.repeat_window_s()),
                 "seconds above 0");
    if (bounds.quota_window_s() <= 0)
        addFault(faults, "bounds.quota_window_s", std::to_string(bounds.quota_window_s()),
                 "seconds above 0");
    if (bounds.quota_overage() < 0 || bounds.quota_overage() > 1)
        addFault(faults, "bounds.quota_overage", std::to_string(bounds.quota_overage()),
                 "a share from 0 to 1");
    if (bounds.quota_slack() < 0)
        addFault(faults, "bounds.quota_slack", std::to_string(bounds.quota_slack()),
                 "a number of requests from 0");
    if (bounds.revoke_ms() <= 0)
        addFault(faults, "bounds.revoke_ms", std::to_string(bounds.revoke_ms()),
                 "milliseconds above 0");
}

// Earlier deployments do not state them.
auto fillQuotaDefaults(wire::HostBounds &bounds) -> void
{
    constexpr double defaultRevokeMs = 5000;
    const quota_terms defaults;
    if (!bounds.has_quota_window_s())
        bounds.set_quota_window_s(std::chrono::duration<double>(defaults.window).count());
    if (!bounds.has_quota_overage())
        bounds.set_quota_overage(defaults.overage);
    if (!bounds.has_quota_slack())
        bounds.set_quota_slack(defaults.slack);
    if (!bounds.has_revoke_ms())
        bounds.set_revoke_ms(defaultRevokeMs);
}

auto fillDefaults(wire::HostSettings &settings) -> void
{
    fillQuotaDefaults(*settings.mutable_bounds());
    if (settings.worker_threads() == 0)
        settings.set_worker_threads(1);
    if (!settings.has_first_start())
        settings.set_first_start(true);
    if (settings.held_answer_kb() == 0)
        settings.set_held_answer_kb(defaultHeldAnswerKb);
    if (settings.pipelined_requests() == 0)
        settings.set_pipelined_requests(defaultPipelinedRequests);
    if (settings.pipelined_kb() == 0)
        settings.set_pipelined_kb(defaultPipelinedKb);
    if (settings.request_memory_percent() == 0)
        settings.set_request_memory_percent(defaultRequestMemoryPercent);
    if (settings.server_body_kb() == 0)
        settings.set_server_body_kb(defaultServerBodyKb);
    if (settings.log_level().empty())
        settings.set_log_level("info");
}

} // namespace

auto readHostSettings(const std::string &text) -> result<wire::HostSettings>
{
    wire::HostSettings settings;
    const auto read = readJson(text, settings);
    if (!read)
        return tl::unexpected(read.error());
    fillDefaults(settings);
    std::string faults;
    if (settings.host_id().empty())
        addFault(faults, "host_id", "", "a name");
    if (settings.failure_domain().empty())
        addFault(faults, "failure_domain", "", "a name");
    checkAddress(faults, "caller_address", settings.caller_address());
    checkAddress(faults, "ready_address", settings.ready_address());
    checkAddress(faults, "peer_address", settings.peer_address());
    checkAddress(faults, "metrics_address", settings.metrics_address());
    checkAddress(faults, "store_address", settings.store_address());
    checkBounds(faults, settings.bounds());
    checkMaximum(faults, "held_answer_kb", settings.held_answer_kb(), maxHeldAnswerKb);
    checkMaximum(faults, "pipelined_requests", settings.pipelined_requests(), maxPipelinedRequests);
    checkMaximum(faults, "pipelined_kb", settings.pipelined_kb(), maxPipelinedKb);
    checkMaximum(faults, "request_memory_percent", settings.request_memory_percent(),
                 maxRequestMemoryPercent);
    checkMaximum(faults, "receive_buffer_kb", settings.receive_buffer_kb(), maxHeldAnswerKb);
    if (!(settings.hedging().percent() >= 0 && settings.hedging().percent() <= maxHedgingPercent))
        addFault(faults, "hedging.percent", std::to_string(settings.hedging().percent()),
                 "a share from 0 to 100 percent");
    if (!valueIn(logLevelNames, settings.log_level()))
        addFault(faults, "log_level", settings.log_level(), "trace, debug, info, warn or error");
    if (!faults.empty())
        return failure(error_code::InvalidInput, faults);
    return settings;
}

} // namespace parsleyloft
