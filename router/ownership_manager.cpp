// At the leader: the state of each keyed service's ownership, its table in the store, and the
// grants and releases sent to servers.
#include "router/ownership_manager.h"

#include "codec/shared_state_codec.h"
#include "decisions/ownership_plan.h"
#include "platform/server_messages.h"
#include "router/leadership.h"
#include "router/site_sync.h"
#include "router/update_sync.h"
#include "router/work_reports.h"
#include "telemetry/event_log.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// Slices that have become held are stored with the next change of the table, or after this.
constexpr duration maxUnstoredTime = 1s;
// Each decision costs a write of the table. With hundreds of servers moves are collected; owners
// that are gone are still replaced at once.
constexpr duration balanceIntervalPerServer = 500us;
// Delay before the table is read after a failed read or write of it.
constexpr duration tableReadDelay = 250ms;
// With less than this left, a renewal of the lease has failed or is late.
constexpr duration lateRenewalThreshold = 1200ms;

auto ownershipKey(const service_name &service) -> std::string
{
    return std::string(ownersPrefix) + service;
}

auto ownershipLimits(router_process &router) -> ownership_limits
{
    ownership_limits limits;
    const auto settings = currentSettings(router);
    if (settings.bounds().hold_max_ms() > 0)
        limits.hold = std::chrono::milliseconds(settings.bounds().hold_max_ms());
    limits.renewAfter = limits.hold / 4;
    return limits;
}

// In a new era of the store, the table that this host followed can be later than the stored one.
auto chooseLatestTable(router_process &router, ownership_table stored) -> ownership_table
{
    const std::lock_guard guard(router.ownership.lock);
    const auto known = router.ownership.services.find(stored.service);
    if (known == router.ownership.services.end() || !isLater(*known->second.table, stored))
        return stored;
    return *known->second.table;
}

// Makes the manager of a table that this leader has read. If the store has come back from an older
// copy since the table was written, it may lack decisions.
auto makeManager(router_process &router, ownership_table stored, store_position leaderRevision)
        -> ownership_manager
{
    const auto now = monotonicNow();
    const auto limits = ownershipLimits(router);
    auto lost = lost_decisions::None;
    std::optional<instant> earlierEraUntil;
    {
        const std::lock_guard guard(router.updateSync.lock);
        earlierEraUntil = router.updateSync.earlierEraUntil;
    }
    if (stored.leaderRevision.era < leaderRevision.era) {
        stored = chooseLatestTable(router, std::move(stored));
        const std::lock_guard guard(router.updateSync.lock);
        lost = lostDecisionsFor(limits, now - router.updateSync.ownersCurrentAt);
    }
    if (stored.slices.empty()) {
        auto manager = makeOwnershipManager(limits, std::move(stored), leaderRevision, now);
        if (earlierEraUntil)
            awaitLostGrants(manager, *earlierEraUntil + candidateLeaseLength());
        return manager;
    }
    if (lost == lost_decisions::None && stored.lost == lost_decisions::None)
        return makeOwnershipManager(limits, std::move(stored), leaderRevision, now);
    return recoverOwnershipManager(limits, std::move(stored), leaderRevision, lost,
                                   now + candidateLeaseLength(), now);
}

// A table that this leader reads again under its claim must be later than the one that the hosts
// follow, which may be later than the stored one.
auto continueSequence(router_process &router, ownership_table &table) -> void
{
    const std::lock_guard guard(router.ownership.lock);
    const auto known = router.ownership.services.find(table.service);
    if (known == router.ownership.services.end()
        || known->second.table->leaderRevision != table.leaderRevision)
        return;
    table.sequence = std::max(table.sequence, known->second.table->sequence + 1);
}

auto adoptStoredTable(router_process &router, ownership_table stored, store_position revision,
                      store_position leaderRevision) -> void
{
    const auto service = stored.service;
    const auto writtenIn = stored.leaderRevision.era;
    auto manager = makeManager(router, std::move(stored), leaderRevision);
    continueSequence(router, manager.table);
    auto table = manager.table;
    const auto pending =
            std::count_if(table.slices.begin(), table.slices.end(),
                          [](const auto &slice) { return slice.phase == slice_phase::Pending; });
    logEvent(log_level::Info, "ownership_loaded",
             {{"service", service},
              {"slices", std::to_string(table.slices.size())},
              {"pending", std::to_string(pending)},
              {"next_fence", std::to_string(table.nextFence)},
              {"revision", std::to_string(revision.revision)},
              {"era", std::to_string(leaderRevision.era)},
              {"written_in_era", std::to_string(writtenIn)},
              {"lost_decisions", std::string(nameIn(lostDecisionsNames, table.lost))}});
    {
        const std::lock_guard guard(router.leadership.lock);
        router.leadership.loading.erase(service);
        auto &managed = router.leadership.managed[service];
        managed = {};
        managed.manager = std::move(manager);
        managed.revision = revision;
        // The store may lack the table, and the fences that were assigned.
        if (writtenIn < leaderRevision.era && !table.slices.empty())
            managed.unstoredSince = monotonicNow() - maxUnstoredTime;
    }
    if (!table.slices.empty())
        adoptOwnership(router, std::move(table), table_source::Leader);
}

// Reads the current table from the store. A new leader must not plan from an older one.
auto loadTable(router_process &router, const service_name &service, store_position leaderRevision)
        -> void
{
    readItem(router.store, ownershipKey(service),
             [&router, service, leaderRevision](const result<store_item> &response) {
                 countStoreCall(router.metrics, "read", response.has_value());
                 if (response && response->position.era == leaderRevision.era) {
                     auto table = decodeOwnership(response->value);
                     if (table) {
                         adoptStoredTable(router, std::move(*table), response->position,
                                          leaderRevision);
                         return;
                     }
                     logEvent(log_level::Error, "ownership_unreadable",
                              {{"service", service}, {"detail", table.error().detail}});
                 } else if (!response && response.error().code == error_code::NotFound) {
                     ownership_table empty;
                     empty.service = service;
                     adoptStoredTable(router, std::move(empty), {}, leaderRevision);
                     return;
                 }
                 postAfter(*router.workers, tableReadDelay, [&router, service] {
                     const std::lock_guard guard(router.leadership.lock);
                     router.leadership.loading.erase(service);
                 });
             });
}

auto logOwnerChanges(router_process &router, const ownership_table &before,
                     const ownership_table &after) -> void
{
    double changedSlices = 0;
    for (const auto &slice : after.slices) {
        const auto *known = findSlice(before, slice.from);
        if (known != nullptr && known->fence == slice.fence)
            continue;
        ++changedSlices;
        logEvent(log_level::Info, "owner_assigned",
                 {{"service", after.service},
                  {"from", std::to_string(slice.from)},
                  {"to", std::to_string(slice.to)},
                  {"owner", slice.owner.id},
                  {"previous", slice.previous.id},
                  {"fence", std::to_string(slice.fence)}});
    }
    countOwnerChange(router.metrics, after.service, changedSlices);
}

// Takes over the table that is now in the store if it is of this leader's claim. Writes the own
// table again otherwise.
auto handleStoredTable(router_process &router, const ownership_table &stored,
                       store_position revision) -> void
{
    auto table = stored;
    {
        const std::lock_guard guard(router.leadership.lock);
        const auto managed = router.leadership.managed.find(table.service);
        if (managed == router.leadership.managed.end())
            return;
        managed->second.writeInFlight = false;
        // In a new era of the store this host leads by a void claim, and the table is an old one.
        const auto era = managed->second.manager.table.leaderRevision.era;
        if (revision.era != era || revision <= managed->second.revision)
            return;
        managed->second.revision = revision;
        const auto before = managed->second.manager.table;
        if (!applyStoredTable(managed->second.manager, stored, monotonicNow())) {
            managed->second.unstoredSince = monotonicNow() - maxUnstoredTime;
            logEvent(log_level::Warn, "ownership_replaced",
                     {{"service", table.service},
                      {"revision", std::to_string(revision.revision)},
                      {"written_in_era", std::to_string(table.leaderRevision.era)}});
            return;
        }
        managed->second.unstoredSince.reset();
        logOwnerChanges(router, before, stored);
        table = managed->second.manager.table;
    }
    adoptOwnership(router, std::move(table), table_source::Leader);
}

auto checkWrite(router_process &router, const service_name &service) -> void;

auto scheduleWriteCheck(router_process &router, const service_name &service) -> void
{
    postAfter(*router.workers, tableReadDelay, [&router, service] {
        if (!router.stopping)
            checkWrite(router, service);
    });
}

auto clearWriteInFlight(router_process &router, const service_name &service) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    const auto managed = router.leadership.managed.find(service);
    if (managed != router.leadership.managed.end())
        managed->second.writeInFlight = false;
}

// Reads the table to find out whether a write without a definite answer has taken effect.
auto checkWrite(router_process &router, const service_name &service) -> void
{
    if (!isLeading(router)) {
        clearWriteInFlight(router, service);
        return;
    }
    readItem(router.store, ownershipKey(service),
             [&router, service](const result<store_item> &response) {
                 countStoreCall(router.metrics, "read", response.has_value());
                 if (response) {
                     const auto table = decodeOwnership(response->value);
                     if (table)
                         handleStoredTable(router, *table, response->position);
                     else
                         logEvent(log_level::Error, "ownership_unreadable",
                                  {{"service", service}, {"detail", table.error().detail}});
                 } else if (response.error().code == error_code::NotFound) {
                     clearWriteInFlight(router, service);
                 } else {
                     scheduleWriteCheck(router, service);
                 }
             });
}

auto handleWriteResult(router_process &router, const ownership_table &table,
                       const result<store_position> &response) -> void
{
    if (response) {
        handleStoredTable(router, table, *response);
        return;
    }
    logEvent(log_level::Warn, "ownership_write_failed",
             {{"service", table.service},
              {"code", std::string(nameIn(errorCodeNames, response.error().code))}});
    scheduleWriteCheck(router, table.service);
}

// Writes the table if this host still leads and the stored table has not changed.
auto writeTable(router_process &router, const ownership_table &table, store_position leaderRevision,
                store_position tableRevision) -> void
{
    store_change change;
    change.expect.push_back({std::string(leaderKey), leaderRevision.revision});
    change.expect.push_back({ownershipKey(table.service), tableRevision.revision});
    change.writes.push_back({ownershipKey(table.service), encodeOwnership(table), 0});
    changeItems(router.store, change, [&router, table](const result<store_position> &response) {
        countStoreCall(router.metrics, "write", response.has_value());
        handleWriteResult(router, table, response);
    });
}

auto handleOrderResult(router_process &router, const service_name &service, const key_order &order,
                       order_result result, const std::string &handover) -> void
{
    countKeyOrder(router.metrics, order.kind, result);
    auto firstGrant = false;
    {
        const std::lock_guard guard(router.leadership.lock);
        const auto managed = router.leadership.managed.find(service);
        if (managed != router.leadership.managed.end())
            firstGrant = recordOrderResult(managed->second.manager, order, result, handover,
                                           monotonicNow());
    }
    // Renewals that succeed are too many to log.
    if (result == order_result::Done && order.kind == order_kind::Grant && !firstGrant)
        return;
    logEvent(log_level::Info, "key_order",
             {{"kind", std::string(nameIn(orderKindNames, order.kind))},
              {"service", service},
              {"server", order.server.id},
              {"address", formatEndpoint(order.server.address)},
              {"from", std::to_string(order.from)},
              {"to", std::to_string(order.to)},
              {"fence", std::to_string(order.fence)},
              {"result", std::string(nameIn(orderResultNames, result))}});
}

auto sendOrder(router_process &router, const service_name &service, const key_order &order,
               store_position leaderRevision, duration timeout) -> void
{
    // The host may be frozen after the order was planned, or the connect may take long: meanwhile
    // the leadership may end.
    const auto maySend = [&router, leaderRevision] {
        return leadershipRevision(router) == leaderRevision;
    };
    sendKeyOrder(router.servers, order, timeout, maySend,
                 [&router, service, order](order_result result, const std::string &handover) {
                     handleOrderResult(router, service, order, result, handover);
                 });
}

// What a round does for one service: computed under the locks, carried out without them.
struct ownership_round
{
    std::vector<key_order> orders;
    // The table to write to the store.
    std::optional<ownership_table> planned;
    // Set when slices have become held, or the table has become complete.
    std::optional<ownership_table> held;
    // The revision of the table that the write replaces.
    store_position revision;
    duration callTimeout = 0us;
    // True when the table has to be read from the store first.
    bool load = false;
};

auto capacityOf(const server_directory &directory, const service_name &service) -> service_capacity
{
    service_capacity capacity;
    for (const auto &[id, entry] : directory.entries) {
        if (entry.record.service != service)
            continue;
        ++capacity.servers;
        capacity.slots += entry.record.slots;
    }
    return capacity;
}

auto planRound(router_process &router, const service_name &service, store_position leaderRevision)
        -> ownership_round
{
    ownership_round round;
    const auto now = monotonicNow();
    const std::scoped_lock guard(router.directory.lock, router.work.lock, router.leadership.lock);
    auto &state = router.leadership;
    const auto found = state.managed.find(service);
    // A table read during an earlier leadership of this host may be out of date.
    if (found == state.managed.end()
        || found->second.manager.table.leaderRevision != leaderRevision) {
        round.load = state.loading.insert(service).second;
        return round;
    }
    auto &managed = found->second;
    const auto &directory = router.directory.directory;
    round.callTimeout = managed.manager.limits.callTimeout;
    round.revision = managed.revision;
    // When renewals of the lease fail, this host may soon have to stop leading. Grants are then
    // renewed ahead of their usual time, while this host still may send them.
    const auto pace = timeLeft(state.leaseValidUntil, hostTimeNow()) < lateRenewalThreshold
            ? renewal_pace::BeforeStopping
            : renewal_pace::Steady;
    round.orders = dueOrders(managed.manager, directory, pace, now);
    const auto held = markHeld(managed.manager);
    if (settleLostDecisions(managed.manager, now) || held) {
        round.held = managed.manager.table;
        if (!managed.unstoredSince)
            managed.unstoredSince = now;
    }
    if (managed.writeInFlight)
        return round;
    const auto capacity = capacityOf(directory, service);
    updateLoad(router, service, capacity, now);
    round.planned = planOwnership(managed.manager, directory, router.work.loads[service], now);
    if (!round.planned && managed.unstoredSince && now - *managed.unstoredSince >= maxUnstoredTime)
        round.planned = managed.manager.table;
    managed.writeInFlight = round.planned.has_value();
    if (round.planned)
        managed.manager.balanceFrom = std::max(
                managed.manager.balanceFrom,
                now + balanceIntervalPerServer * static_cast<std::int64_t>(capacity.servers));
    return round;
}

auto stopManaging(router_process &router) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    router.leadership.managed.clear();
}

} // namespace

auto manageOwnership(router_process &router) -> void
{
    const auto leaderRevision = leadershipRevision(router);
    setLeading(router.metrics, leaderRevision.has_value());
    if (!leaderRevision) {
        stopManaging(router);
        return;
    }
    recordOwnersCurrent(router);
    for (const auto &service : keyedServices(router)) {
        const auto round = planRound(router, service, *leaderRevision);
        if (round.load)
            loadTable(router, service, *leaderRevision);
        if (round.held)
            adoptOwnership(router, *round.held, table_source::Leader);
        if (round.planned)
            writeTable(router, *round.planned, *leaderRevision, round.revision);
        for (const auto &order : round.orders)
            sendOrder(router, service, order, *leaderRevision, round.callTimeout);
        logLoad(router, service);
    }
}

} // namespace parsleyloft
