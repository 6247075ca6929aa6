// What the leading host does for the owners of keys.
#include "router/key_keeper.h"

#include "codec/shared_state_codec.h"
#include "platform/server_messages.h"
#include "router/leadership.h"
#include "router/site_sync.h"
#include "router/work_reports.h"
#include "telemetry/event_log.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// Slices marked as held are stored with the next change, or after this.
constexpr duration storeHeldAfter = 1s;
// Before the store is asked what became of a write that failed.
constexpr duration settlePause = 250ms;
// A lease that has less left was not renewed in time.
constexpr duration lastRenewals = 1200ms;

auto keyOf(const service_name &service) -> std::string
{
    return std::string(ownersPrefix) + service;
}

auto limitsOf(router_process &router) -> ownership_limits
{
    ownership_limits limits;
    const auto settings = currentSettings(router);
    if (settings.bounds().hold_max_ms() > 0)
        limits.hold = std::chrono::milliseconds(settings.bounds().hold_max_ms());
    limits.renewAfter = limits.hold / 4;
    return limits;
}

auto noteLoaded(router_process &router, ownership_table table, store_revision revision,
                store_revision leaderRevision) -> void
{
    const auto service = table.service;
    logEvent(log_level::Info, "keeping_began",
             {{"service", service},
              {"slices", std::to_string(table.slices.size())},
              {"revision", std::to_string(revision)}});
    {
        const std::lock_guard guard(router.leadership.lock);
        router.leadership.loading.erase(service);
        auto &kept = router.leadership.kept[service];
        kept = {};
        kept.keeper = makeOwnershipManager(limitsOf(router), std::move(table), leaderRevision,
                                           monotonicNow());
        kept.revision = revision;
        table = kept.keeper.table;
    }
    if (revision > 0)
        adoptOwnership(router, std::move(table), table_source::Leader);
}

// Reads the table as the store has it now: a leader plans from nothing older.
auto loadTable(router_process &router, const service_name &service, store_revision leaderRevision)
        -> void
{
    readItem(router.store, keyOf(service),
             [&router, service, leaderRevision](const result<store_item> &ended) {
                 countStoreCall(router.counted, "read", ended.has_value());
                 if (ended) {
                     auto table = decodeOwnership(ended->value);
                     if (table) {
                         noteLoaded(router, std::move(*table), ended->revision, leaderRevision);
                         return;
                     }
                     logEvent(log_level::Error, "ownership_unreadable",
                              {{"service", service}, {"detail", table.error().detail}});
                 } else if (ended.error().code == error_code::NotFound) {
                     ownership_table empty;
                     empty.service = service;
                     noteLoaded(router, std::move(empty), 0, leaderRevision);
                     return;
                 }
                 postAfter(*router.workers, settlePause, [&router, service] {
                     const std::lock_guard guard(router.leadership.lock);
                     router.leadership.loading.erase(service);
                 });
             });
}

auto logMoves(router_process &router, const ownership_table &before, const ownership_table &after)
        -> void
{
    double moved = 0;
    for (const auto &slice : after.slices) {
        const auto *known = findSlice(before, slice.from);
        if (known != nullptr && known->fence == slice.fence)
            continue;
        ++moved;
        logEvent(log_level::Info, "owner_decided",
                 {{"service", after.service},
                  {"from", std::to_string(slice.from)},
                  {"to", std::to_string(slice.to)},
                  {"owner", slice.owner.id},
                  {"previous", slice.previous.id},
                  {"fence", std::to_string(slice.fence)}});
    }
    countOwnerChange(router.counted, after.service, moved);
}

// The leader's own view follows the store's table, whether its write or another stood.
auto noteStoredTable(router_process &router, const ownership_table &stored, store_revision revision)
        -> void
{
    auto table = stored;
    {
        const std::lock_guard guard(router.leadership.lock);
        const auto kept = router.leadership.kept.find(table.service);
        if (kept == router.leadership.kept.end())
            return;
        kept->second.writing = false;
        if (revision <= kept->second.revision)
            return;
        kept->second.revision = revision;
        kept->second.behindSince.reset();
        logMoves(router, kept->second.keeper.table, stored);
        applyStoredTable(kept->second.keeper, stored, monotonicNow());
        table = kept->second.keeper.table;
    }
    adoptOwnership(router, std::move(table), table_source::Leader);
}

auto settleWrite(router_process &router, const service_name &service) -> void;

auto settleLater(router_process &router, const service_name &service) -> void
{
    postAfter(*router.workers, settlePause, [&router, service] {
        if (!router.stopping)
            settleWrite(router, service);
    });
}

auto noteNothingWritten(router_process &router, const service_name &service) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    const auto kept = router.leadership.kept.find(service);
    if (kept != router.leadership.kept.end())
        kept->second.writing = false;
}

// Finds out what became of a write without an answer.
auto settleWrite(router_process &router, const service_name &service) -> void
{
    if (!leadsNow(router)) {
        noteNothingWritten(router, service);
        return;
    }
    readItem(router.store, keyOf(service), [&router, service](const result<store_item> &ended) {
        countStoreCall(router.counted, "read", ended.has_value());
        if (ended) {
            const auto table = decodeOwnership(ended->value);
            if (table)
                noteStoredTable(router, *table, ended->revision);
            else
                logEvent(log_level::Error, "ownership_unreadable",
                         {{"service", service}, {"detail", table.error().detail}});
        } else if (ended.error().code == error_code::NotFound) {
            noteNothingWritten(router, service);
        } else {
            settleLater(router, service);
        }
    });
}

auto noteWritten(router_process &router, const ownership_table &table,
                 const result<store_revision> &ended) -> void
{
    if (ended) {
        noteStoredTable(router, table, *ended);
        return;
    }
    logEvent(log_level::Warn, "ownership_not_written",
             {{"service", table.service},
              {"code", std::string(nameIn(errorCodeNames, ended.error().code))}});
    settleLater(router, table.service);
}

auto writeTable(router_process &router, const ownership_table &table, store_revision leader,
                store_revision known) -> void
{
    store_change change;
    change.expect.push_back({std::string(leaderKey), leader});
    change.expect.push_back({keyOf(table.service), known});
    change.writes.push_back({keyOf(table.service), encodeOwnership(table), 0});
    changeItems(router.store, change, [&router, table](const result<store_revision> &ended) {
        countStoreCall(router.counted, "write", ended.has_value());
        noteWritten(router, table, ended);
    });
}

auto noteOrder(router_process &router, const service_name &service, const key_order &order,
               order_result ended, const std::string &handover) -> void
{
    countOrder(router.counted, order.kind, ended);
    if (ended != order_result::Done || order.kind == order_kind::Release)
        logEvent(log_level::Info, "key_order",
                 {{"kind", std::string(nameIn(orderKindNames, order.kind))},
                  {"service", service},
                  {"server", order.server.id},
                  {"from", std::to_string(order.from)},
                  {"fence", std::to_string(order.fence)},
                  {"result", std::string(nameIn(orderResultNames, ended))}});
    const std::lock_guard guard(router.leadership.lock);
    const auto kept = router.leadership.kept.find(service);
    if (kept != router.leadership.kept.end())
        recordOrderResult(kept->second.keeper, order, ended, handover, monotonicNow());
}

auto sendOrder(router_process &router, const service_name &service, const key_order &order,
               duration timeout) -> void
{
    // Time may have passed since the order was planned, the host may have been frozen.
    if (!leadsNow(router)) {
        noteOrder(router, service, order, order_result::NotSent, {});
        return;
    }
    sendKeyOrder(router.servers, order, timeout,
                 [&router, service, order](order_result ended, const std::string &handover) {
                     noteOrder(router, service, order, ended, handover);
                 });
}

// The next orders and the next table of one service, taken together under the locks.
struct service_round
{
    std::vector<key_order> orders;
    std::optional<ownership_table> planned;
    // Set when slices were marked as held.
    std::optional<ownership_table> held;
    store_revision revision = 0;
    duration callTimeout = 0us;
    bool load = false;
};

auto countServers(const server_directory &directory, const service_name &service) -> std::size_t
{
    const auto count =
            std::count_if(directory.entries.begin(), directory.entries.end(),
                          [&](const auto &one) { return one.second.record.service == service; });
    return static_cast<std::size_t>(count);
}

auto planRound(router_process &router, const service_name &service, store_revision leader)
        -> service_round
{
    service_round round;
    const auto now = monotonicNow();
    const std::scoped_lock guard(router.directory.lock, router.work.lock, router.leadership.lock);
    auto &state = router.leadership;
    const auto found = state.kept.find(service);
    // A table that was read in an earlier leadership of this host may be out of date.
    if (found == state.kept.end() || found->second.keeper.table.leaderRevision != leader) {
        round.load = state.loading.insert(service).second;
        return round;
    }
    auto &kept = found->second;
    const auto &directory = router.directory.directory;
    round.callTimeout = kept.keeper.limits.callTimeout;
    round.revision = kept.revision;
    // Renewals of the lease that fail leave little time: what can be granted is granted now.
    const auto pace = state.leaseEnds - now < lastRenewals ? renewal_pace::BeforeStopping
                                                           : renewal_pace::Steady;
    round.orders = dueOrders(kept.keeper, directory, pace, now);
    if (markHeld(kept.keeper)) {
        round.held = kept.keeper.table;
        if (!kept.behindSince)
            kept.behindSince = now;
    }
    if (kept.writing)
        return round;
    refreshLoad(router, service, countServers(directory, service), now);
    round.planned = planOwnership(kept.keeper, directory, router.work.heard[service], now);
    if (!round.planned && kept.behindSince && now - *kept.behindSince >= storeHeldAfter)
        round.planned = kept.keeper.table;
    kept.writing = round.planned.has_value();
    return round;
}

auto stopKeeping(router_process &router) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    router.leadership.kept.clear();
}

} // namespace

auto keepOwners(router_process &router) -> void
{
    const auto leader = leaderRevision(router);
    setLeads(router.counted, leader.has_value());
    if (!leader) {
        stopKeeping(router);
        return;
    }
    for (const auto &service : keyedServices(router)) {
        const auto round = planRound(router, service, *leader);
        if (round.load)
            loadTable(router, service, *leader);
        if (round.held)
            adoptOwnership(router, *round.held, table_source::Leader);
        if (round.planned)
            writeTable(router, *round.planned, *leader, round.revision);
        for (const auto &order : round.orders)
            sendOrder(router, service, order, round.callTimeout);
    }
}

} // namespace parsleyloft
