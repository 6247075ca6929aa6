// The shared tables of one entry host's process, and the parts that workers use.
#include "daemon/daemon.h"

#include "codec/configuration_codec.h"
#include "codec/json.h"
#include "core/hash.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

template<typename value>
auto countCall(daemon_process &daemon, store_callback<value> done) -> store_callback<value>
{
    ++daemon.storeCalls;
    return [&daemon, done = std::move(done)](result<value> ended) {
        const auto answered = ended || ended.error().code == error_code::Conflict;
        daemon.storeReachable = answered;
        countStoreCall(daemon.counters, answered);
        done(std::move(ended));
    };
}

} // namespace

auto groupTable(daemon_process &daemon, const group_id &group) -> std::shared_ptr<group_table>
{
    const std::lock_guard guard(daemon.groups.lock);
    auto &table = daemon.groups.byId[group];
    if (!table)
        table = std::make_shared<group_table>();
    return table;
}

auto currentConfiguration(daemon_process &daemon) -> configuration
{
    const std::lock_guard guard(daemon.configured.lock);
    return daemon.configured.current;
}

auto adoptConfiguration(daemon_process &daemon, const configuration &stored) -> void
{
    {
        const std::lock_guard guard(daemon.configured.lock);
        if (!replaceIfNewer(daemon.configured.current, stored))
            return;
    }
    const auto text = toJson(toWire(stored));
    wire::JournalEvent event;
    event.set_kind(wire::JOURNAL_KIND_CONFIGURATION);
    event.set_revision(stored.revision);
    event.set_digest(std::to_string(stableHash(text)));
    recordEvent(daemon.events, std::move(event));
    logEvent(log_level::Info, "configuration_adopted",
             {{"revision", std::to_string(stored.revision)}});
}

auto updateHostAddress(daemon_process &daemon, const host_info &host) -> void
{
    if (host.id.empty() || host.id == daemon.self.id || host.peerAddress.empty())
        return;
    const std::lock_guard guard(daemon.peerTable.lock);
    daemon.peerTable.hosts[host.id] = host;
}

auto addressOfPeer(daemon_process &daemon, const host_id &host) -> std::string
{
    const std::lock_guard guard(daemon.peerTable.lock);
    const auto found = daemon.peerTable.hosts.find(host);
    return found == daemon.peerTable.hosts.end() ? std::string() : found->second.peerAddress;
}

auto isCutFrom(daemon_process &daemon, const host_id &host) -> bool
{
    const std::lock_guard guard(daemon.linkCuts.lock);
    return daemon.linkCuts.peers.contains(host);
}

auto isCutFromPlatform(daemon_process &daemon) -> bool
{
    const std::lock_guard guard(daemon.linkCuts.lock);
    return daemon.linkCuts.platform;
}

auto configurationKey() -> std::string
{
    return "parsleyloft/configuration";
}

auto recordKey(const daemon_process &daemon) -> std::string
{
    return "parsleyloft/regions/" + daemon.settings.region() + "/members";
}

auto tableKey(const daemon_process &daemon) -> std::string
{
    return "parsleyloft/regions/" + daemon.settings.region() + "/assignments";
}

auto storeRead(daemon_process &daemon, const std::string &key, store_callback<store_value> done)
        -> void
{
    auto withCount = countCall<store_value>(daemon, std::move(done));
    if (isCutFromPlatform(daemon))
        withCount(failure(error_code::Unreachable, "the link is cut"));
    else
        readKey(daemon.store, key, std::move(withCount));
}

auto storeWrite(daemon_process &daemon, const std::string &key, const std::string &value,
                std::uint64_t index, store_callback<void> done) -> void
{
    auto withCount = countCall<void>(daemon, std::move(done));
    if (isCutFromPlatform(daemon))
        withCount(failure(error_code::Unreachable, "the link is cut"));
    else
        writeKey(daemon.store, key, value, index, std::move(withCount));
}

auto storeHostList(daemon_process &daemon, store_callback<host_list> done) -> void
{
    auto withCount = countCall<host_list>(daemon, std::move(done));
    if (isCutFromPlatform(daemon))
        withCount(failure(error_code::Unreachable, "the link is cut"));
    else
        readHostList(daemon.store, std::move(withCount));
}

} // namespace parsleyloft
