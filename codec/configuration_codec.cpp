// Conversions between configuration and settings structs and their JSON.
#include "codec/configuration_codec.h"

#include "codec/json.h"
#include "core/endpoint.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

constexpr std::uint32_t defaultWorkers = 2;
constexpr std::uint32_t maxWorkers = 64;
constexpr std::uint32_t defaultDrainMs = 10'000;
constexpr std::uint32_t maxDrainMs = 600'000;
constexpr std::uint32_t defaultBodyBytes = 64 * 1024;
constexpr std::uint32_t maxBodyLimit = 1024 * 1024;
constexpr std::uint32_t maxShards = 65'536;

auto fillDefaults(wire::Settings &settings) -> void
{
    if (settings.region().empty())
        settings.set_region("main");
    if (settings.worker_threads() == 0)
        settings.set_worker_threads(defaultWorkers);
    if (settings.drain_limit_ms() == 0)
        settings.set_drain_limit_ms(defaultDrainMs);
    if (settings.max_body_bytes() == 0)
        settings.set_max_body_bytes(defaultBodyBytes);
    if (settings.log_level().empty())
        settings.set_log_level("info");
}

struct fault_list
{
    std::string text;
};

auto note(fault_list &faults, const std::string &path, const std::string &value,
          const std::string &allowed) -> void
{
    faults.text += path + ": '" + value + "': " + allowed + "\n";
}

auto checkName(fault_list &faults, const std::string &path, const std::string &value) -> void
{
    if (value.empty())
        note(faults, path, value, "must not be empty");
    if (value.find_first_of(" /\"\n") != std::string::npos)
        note(faults, path, value, "must not hold spaces, quotes or slashes");
}

auto checkAddress(fault_list &faults, const std::string &path, const std::string &value) -> void
{
    if (!parseEndpoint(value))
        note(faults, path, value, "must be ip:port with a port from 1 to 65535");
}

auto checkRange(fault_list &faults, const std::string &path, std::uint32_t value,
                std::uint32_t most) -> void
{
    if (value < 1 || value > most)
        note(faults, path, std::to_string(value), "must be from 1 to " + std::to_string(most));
}

auto checkService(fault_list &faults, const std::string &path, const wire::ServiceSettings &service)
        -> void
{
    checkName(faults, path + ".name", service.name());
    if (service.keyed())
        checkRange(faults, path + ".shards", service.shards(), maxShards);
    else if (service.shards() != 0)
        note(faults, path + ".shards", std::to_string(service.shards()),
             "must be left out of a service without keys");
}

auto checkServices(fault_list &faults, const wire::Settings &settings) -> void
{
    std::set<std::string> names;
    for (int index = 0; index < settings.services_size(); ++index) {
        const auto path = "services[" + std::to_string(index) + "]";
        const auto &service = settings.services(index);
        checkService(faults, path, service);
        if (!names.insert(service.name()).second)
            note(faults, path + ".name", service.name(), "must differ from the other services");
    }
    if (names.empty())
        note(faults, "services", "[]", "must name at least one service");
}

auto checkSettings(const wire::Settings &settings) -> fault_list
{
    fault_list faults;
    checkName(faults, "host_id", settings.host_id());
    checkName(faults, "region", settings.region());
    checkName(faults, "failure_domain", settings.failure_domain());
    checkAddress(faults, "caller_address", settings.caller_address());
    checkAddress(faults, "peer_address", settings.peer_address());
    checkAddress(faults, "platform_address", settings.platform_address());
    for (int index = 0; index < settings.peers_size(); ++index) {
        const auto path = "peers[" + std::to_string(index) + "]";
        checkName(faults, path + ".host_id", settings.peers(index).host_id());
        checkAddress(faults, path + ".peer_address", settings.peers(index).peer_address());
    }
    checkServices(faults, settings);
    checkRange(faults, "worker_threads", settings.worker_threads(), maxWorkers);
    checkRange(faults, "drain_limit_ms", settings.drain_limit_ms(), maxDrainMs);
    checkRange(faults, "max_body_bytes", settings.max_body_bytes(), maxBodyLimit);
    if (!valueIn(logLevelNames, settings.log_level()))
        note(faults, "log_level", settings.log_level(),
             "must be one of trace, debug, info, warn, error");
    return faults;
}

} // namespace

auto toWire(const class_of_work &work) -> wire::ClassOfWork
{
    wire::ClassOfWork message;
    message.set_name(work.name);
    message.set_service(work.service);
    message.set_max_wait_ms(static_cast<std::uint32_t>(toMilliseconds(work.maxWait)));
    message.set_may_repeat(work.mayRepeat);
    message.set_max_refused_permille(work.maxRefusedPermille);
    return message;
}

auto fromWire(const wire::ClassOfWork &message) -> class_of_work
{
    return {message.name(), message.service(), std::chrono::milliseconds(message.max_wait_ms()),
            message.may_repeat(), message.max_refused_permille()};
}

auto toWire(const configuration &value) -> wire::Configuration
{
    wire::Configuration message;
    message.set_revision(value.revision);
    for (const auto &[name, work] : value.classes)
        *message.add_classes() = toWire(work);
    for (const auto &domain : value.evacuatedDomains)
        message.add_domains_out(domain);
    for (const auto &host : value.evacuatedHosts)
        message.add_hosts_out(host);
    return message;
}

auto fromWire(const wire::Configuration &message) -> configuration
{
    configuration value;
    value.revision = message.revision();
    for (const auto &work : message.classes())
        value.classes[work.name()] = fromWire(work);
    value.evacuatedDomains.insert(message.domains_out().begin(), message.domains_out().end());
    value.evacuatedHosts.insert(message.hosts_out().begin(), message.hosts_out().end());
    return value;
}

auto servicesFromWire(const wire::Settings &settings) -> std::vector<service_info>
{
    std::vector<service_info> services;
    for (const auto &one : settings.services())
        services.push_back({one.name(), one.keyed(), one.shards(), one.checks_grants()});
    return services;
}

auto readSettings(const std::string &text) -> result<wire::Settings>
{
    wire::Settings settings;
    const auto read = readJson(text, settings);
    if (!read)
        return tl::unexpected(read.error());
    fillDefaults(settings);
    const auto faults = checkSettings(settings);
    if (!faults.text.empty())
        return failure(error_code::InvalidInput, faults.text);
    return settings;
}

} // namespace parsleyloft
