// The leader's periodic work: plan the assignment table, store and publish it, and maintain the
// member record.
#include "daemon/leader.h"

#include "codec/assignment_codec.h"
#include "codec/configuration_codec.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

constexpr duration storeRetryDelay = 500ms;
constexpr duration hostListPeriod = 1s;

// A member that has not reported for this long is removed from the member record and so loses
// its vote.
constexpr duration memberLossTimeout = 10s;

// True while this host is the leader of the given term. Checked when a store call completes,
// because leadership may have changed since the call was sent.
auto stillLeads(const leadership_table &table, term ledTerm) -> bool
{
    return table.region.leadership.role == leadership_role::Leader
            && table.region.leadership.highestTerm == ledTerm;
}

auto handleStoredTable(daemon_process &daemon, term ledTerm, const result<store_value> &reply)
        -> void
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    table.writes.tableCallPending = false;
    if (!stillLeads(table, ledTerm))
        return;
    if (!reply) {
        table.writes.nextTableAttempt = monotonicNow() + storeRetryDelay;
        return;
    }
    table.writes.tableIndex = reply->index;
    wire::AssignmentTable message;
    if (reply->index == 0 || !message.ParseFromString(reply->value))
        return;
    const auto stored = fromWire(message);
    observeTerm(table.region.leadership, stored.leaderTerm);
    const auto changesFrozen = monotonicNow() < table.region.leadership.changesFrozenUntil;
    // While changes are frozen, newer entries of an earlier leader's table are merged into the
    // plan. The version stays the one of this term.
    if (stored.leaderTerm < ledTerm && changesFrozen) {
        const auto version = table.region.planner.table.version;
        mergeNewer(table.region.planner.table, stored);
        table.region.planner.table.version = version;
        return;
    }
    // An earlier write of this term took effect although its reply was lost.
    if (stored == table.region.published)
        table.writes.tableUnstored = false;
}

auto readTable(daemon_process &daemon, term ledTerm) -> void
{
    storeRead(daemon, tableKey(daemon), [&daemon, ledTerm](const result<store_value> &reply) {
        handleStoredTable(daemon, ledTerm, reply);
    });
}

auto publishTable(leadership_table &table, const assignment_table &next, bool stored) -> void
{
    table.region.published = next;
    table.writes.tableUnstored = !stored;
    logEvent(log_level::Debug, "table_published",
             {{"term", toString(next.leaderTerm)}, {"version", std::to_string(next.version)}});
}

auto finishTableWrite(daemon_process &daemon, const assignment_table &next,
                      const result<void> &reply) -> void
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    table.writes.tableCallPending = false;
    table.writes.tableIndex.reset();
    if (!stillLeads(table, next.leaderTerm))
        return;
    if (reply) {
        publishTable(table, next, true);
        return;
    }
    table.writes.nextTableAttempt = monotonicNow() + storeRetryDelay;
    // A conflict means that another leader wrote, or that an own write took effect and its reply
    // was lost. The next read of the table distinguishes the two, so it is done at once.
    if (reply.error().code == error_code::Conflict)
        table.writes.nextTableAttempt = instant{};
    else
        publishTable(table, next, false);
}

// Writes the table and publishes it after the write. While the key-value service is down the
// table is published at once: a later leader learns it from the reports of the holders instead.
auto writeTable(daemon_process &daemon, leadership_table &table, const assignment_table &next)
        -> task
{
    if (!daemon.storeReachable)
        publishTable(table, next, false);
    if (!table.writes.tableIndex || monotonicNow() < table.writes.nextTableAttempt)
        return {};
    table.writes.tableCallPending = true;
    const auto index = *table.writes.tableIndex;
    return [&daemon, next, index] {
        storeWrite(daemon, tableKey(daemon), toWire(next).SerializeAsString(), index,
                   [&daemon, next](const result<void> &reply) {
                       finishTableWrite(daemon, next, reply);
                   });
    };
}

// The next store call that the assignment table needs, or an empty task. Called with leadership
// locked; the task runs without the lock.
auto nextTableTask(daemon_process &daemon, leadership_table &table, instant now) -> task
{
    if (table.writes.tableCallPending)
        return {};
    if (!table.writes.tableIndex && now >= table.writes.nextTableAttempt) {
        table.writes.tableCallPending = true;
        return [&daemon, ledTerm = table.region.leadership.highestTerm] {
            readTable(daemon, ledTerm);
        };
    }
    const auto next = nextTableToPublish(table.region.planner, table.region.published);
    if (next && (table.writes.tableIndex || !daemon.storeReachable))
        return writeTable(daemon, table, *next);
    if (!next && table.writes.tableUnstored && now >= table.writes.nextTableAttempt)
        return writeTable(daemon, table, table.region.published);
    return {};
}

auto collectHosts(const leadership_table &table, const configuration &config, instant now)
        -> std::vector<host_status>
{
    std::vector<host_status> hosts;
    for (const auto &[id, host] : table.region.planner.hosts) {
        const auto info = table.region.planner.table.hosts.find(id);
        if (info == table.region.planner.table.hosts.end())
            continue;
        const auto member = isMember(table.region.leadership.record, id, host.start);
        const auto alive = isAlive(table.region.planner, id, now)
                || (member && now < host.lastSeen + memberLossTimeout);
        const auto leaving = host.draining || config.evacuatedHosts.contains(id)
                || table.leavingHosts.contains(id);
        hosts.push_back({{id, host.start, info->second.domain}, alive, leaving});
    }
    for (const auto &member : table.region.leadership.record.members) {
        const auto hasReported = table.region.planner.hosts.contains(member.host);
        if (!hasReported && now >= table.region.plannerTermStart + memberLossTimeout)
            hosts.push_back({member, false, false});
    }
    return hosts;
}

auto finishRecordWrite(daemon_process &daemon, const member_record &next, term ledTerm,
                       const result<void> &reply) -> void
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    table.writes.recordCallPending = false;
    table.writes.recordIndex.reset();
    if (!stillLeads(table, ledTerm))
        return;
    if (!reply) {
        table.writes.nextRecordAttempt = monotonicNow() + storeRetryDelay;
        return;
    }
    table.region.leadership.record = next;
    table.region.leadership.pendingRecord.reset();
    logEvent(log_level::Info, "members_changed",
             {{"version", std::to_string(next.version)},
              {"members", std::to_string(next.members.size())}});
}

auto handleStoredRecord(daemon_process &daemon, term ledTerm, const result<store_value> &reply)
        -> void
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    table.writes.recordCallPending = false;
    if (!stillLeads(table, ledTerm))
        return;
    if (!reply) {
        table.writes.nextRecordAttempt = monotonicNow() + storeRetryDelay;
        return;
    }
    table.region.leadership.recordRead = true;
    table.writes.recordIndex = reply->index;
    wire::MemberRecord message;
    if (reply->index == 0 || !message.ParseFromString(reply->value))
        return;
    const auto stored = fromWire(message);
    observeTerm(table.region.leadership, stored.leaderTerm);
    if (stored.version > table.region.leadership.record.version)
        table.region.leadership.record = stored;
    const auto &pending = table.region.leadership.pendingRecord;
    if (pending && stored.version >= pending->version)
        table.region.leadership.pendingRecord.reset();
}

auto nextRecordTask(daemon_process &daemon, leadership_table &table, const configuration &config,
                    instant now) -> task
{
    if (table.writes.recordCallPending || now < table.writes.nextRecordAttempt)
        return {};
    const auto ledTerm = table.region.leadership.highestTerm;
    if (!table.writes.recordIndex) {
        table.writes.recordCallPending = true;
        return [&daemon, ledTerm] {
            storeRead(daemon, recordKey(daemon),
                      [&daemon, ledTerm](const result<store_value> &reply) {
                          handleStoredRecord(daemon, ledTerm, reply);
                      });
        };
    }
    if (!table.region.leadership.pendingRecord)
        table.region.leadership.pendingRecord =
                proposeRecord(table.region.leadership, collectHosts(table, config, now));
    if (!table.region.leadership.pendingRecord)
        return {};
    table.writes.recordCallPending = true;
    const auto next = *table.region.leadership.pendingRecord;
    return [&daemon, next, ledTerm, index = *table.writes.recordIndex] {
        storeWrite(daemon, recordKey(daemon), toWire(next).SerializeAsString(), index,
                   [&daemon, next, ledTerm](const result<void> &reply) {
                       finishRecordWrite(daemon, next, ledTerm, reply);
                   });
    };
}

auto applyHostList(daemon_process &daemon, const host_list &list) -> void
{
    for (const auto &host : list.hosts)
        updateHostAddress(daemon, host);
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    table.leavingHosts = {list.leavingHosts.begin(), list.leavingHosts.end()};
    if (table.region.leadership.role == leadership_role::Leader)
        updateHostsAndServers(table.region.planner, list.hosts, list.servers);
}

auto readPlatform(daemon_process &daemon) -> void
{
    storeHostList(daemon, [&daemon](const result<host_list> &reply) {
        if (reply)
            applyHostList(daemon, *reply);
    });
    storeRead(daemon, configurationKey(), [&daemon](const result<store_value> &reply) {
        wire::Configuration message;
        if (reply && reply->index != 0 && message.ParseFromString(reply->value))
            adoptConfiguration(daemon, fromWire(message));
    });
}

} // namespace

auto runLeaderStep(daemon_process &daemon) -> void
{
    const auto config = currentConfiguration(daemon);
    const auto now = monotonicNow();
    task writeNext;
    task recordNext;
    auto listDue = false;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        auto &table = daemon.leadership;
        setLeading(daemon.counters, table.region.leadership.role == leadership_role::Leader);
        if (table.region.leadership.role != leadership_role::Leader)
            return;
        if (beginLeading(table.region, now))
            table.writes = {};
        listDue = now >= table.writes.nextListRead;
        if (listDue)
            table.writes.nextListRead = now + hostListPeriod;
        if (checkLeadership(table.region, now)) {
            planTable(table.region.planner, config, table.region.leadership.changesFrozenUntil,
                      now);
            writeNext = nextTableTask(daemon, table, now);
            recordNext = nextRecordTask(daemon, table, config, now);
        }
    }
    if (listDue)
        readPlatform(daemon);
    if (writeNext)
        writeNext();
    if (recordNext)
        recordNext();
}

} // namespace parsleyloft
