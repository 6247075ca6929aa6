// What the leader does: plans the table, stores it, gives it out, keeps the members.
#include "daemon/leader.h"

#include "codec/assignment_codec.h"
#include "codec/configuration_codec.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

constexpr duration storeRetryDelay = 500ms;
constexpr duration hostListPeriod = 1s;

// A member that was silent for so long loses its vote.
constexpr duration memberLossTimeout = 10s;

// True while the host still leads in the term in which it began something.
auto stillLeads(const leadership_table &table, term in) -> bool
{
    return table.region.leadership.role == leadership_role::Leader
            && table.region.leadership.highestTerm == in;
}

auto handleStoredTable(daemon_process &daemon, term in, const result<store_value> &ended) -> void
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    table.writes.tableCallPending = false;
    if (!stillLeads(table, in))
        return;
    if (!ended) {
        table.writes.nextTableAttempt = monotonicNow() + storeRetryDelay;
        return;
    }
    table.writes.tableIndex = ended->index;
    wire::AssignmentTable message;
    if (ended->index == 0 || !message.ParseFromString(ended->value))
        return;
    const auto stored = fromWire(message);
    observeTerm(table.region.leadership, stored.leaderTerm);
    const auto quiet = monotonicNow() < table.region.leadership.changesFrozenUntil;
    if (stored.leaderTerm < in && quiet) {
        const auto version = table.region.planner.table.version;
        mergeNewer(table.region.planner.table, stored);
        table.region.planner.table.version = version;
        return;
    }
    // An earlier write of this term whose answer was lost has taken effect.
    if (stored == table.region.published)
        table.writes.tableUnstored = false;
}

auto readTable(daemon_process &daemon, term in) -> void
{
    storeRead(daemon, tableKey(daemon), [&daemon, in](const result<store_value> &ended) {
        handleStoredTable(daemon, in, ended);
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
                      const result<void> &ended) -> void
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    table.writes.tableCallPending = false;
    table.writes.tableIndex.reset();
    if (!stillLeads(table, next.leaderTerm))
        return;
    if (ended) {
        publishTable(table, next, true);
        return;
    }
    table.writes.nextTableAttempt = monotonicNow() + storeRetryDelay;
    // A conflict is another leader's write or an own lost answer: the next reading tells.
    if (ended.error().code == error_code::Conflict)
        table.writes.nextTableAttempt = instant{};
    else
        publishTable(table, next, false);
}

// Writes the table and gives it out after. While the key-value service is down it is
// given out at once: the holders' reports stand in for the write.
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
                   [&daemon, next](const result<void> &ended) {
                       finishTableWrite(daemon, next, ended);
                   });
    };
}

auto nextTableTask(daemon_process &daemon, leadership_table &table, instant now) -> task
{
    if (table.writes.tableCallPending)
        return {};
    if (!table.writes.tableIndex && now >= table.writes.nextTableAttempt) {
        table.writes.tableCallPending = true;
        return [&daemon, in = table.region.leadership.highestTerm] { readTable(daemon, in); };
    }
    const auto next = nextTableToPublish(table.region.planner, table.region.published);
    if (next && (table.writes.tableIndex || !daemon.storeReachable))
        return writeTable(daemon, table, *next);
    if (!next && table.writes.tableUnstored && now >= table.writes.nextTableAttempt)
        return writeTable(daemon, table, table.region.published);
    return {};
}

auto liveHosts(const leadership_table &table, const configuration &wanted, instant now)
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
        const auto leaving = host.draining || wanted.evacuatedHosts.contains(id)
                || table.leavingHosts.contains(id);
        hosts.push_back({{id, host.start, info->second.domain}, alive, leaving});
    }
    for (const auto &one : table.region.leadership.record.members) {
        const auto heard = table.region.planner.hosts.contains(one.host);
        if (!heard && now >= table.region.plannerTermStart + memberLossTimeout)
            hosts.push_back({one, false, false});
    }
    return hosts;
}

auto finishRecordWrite(daemon_process &daemon, const member_record &next, term in,
                       const result<void> &ended) -> void
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    table.writes.recordCallPending = false;
    table.writes.recordIndex.reset();
    if (!stillLeads(table, in))
        return;
    if (!ended) {
        table.writes.nextRecordAttempt = monotonicNow() + storeRetryDelay;
        return;
    }
    table.region.leadership.record = next;
    table.region.leadership.pendingRecord.reset();
    logEvent(log_level::Info, "members_changed",
             {{"version", std::to_string(next.version)},
              {"members", std::to_string(next.members.size())}});
}

auto handleStoredRecord(daemon_process &daemon, term in, const result<store_value> &ended) -> void
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    table.writes.recordCallPending = false;
    if (!stillLeads(table, in))
        return;
    if (!ended) {
        table.writes.nextRecordAttempt = monotonicNow() + storeRetryDelay;
        return;
    }
    table.region.leadership.recordRead = true;
    table.writes.recordIndex = ended->index;
    wire::MemberRecord message;
    if (ended->index == 0 || !message.ParseFromString(ended->value))
        return;
    const auto stored = fromWire(message);
    observeTerm(table.region.leadership, stored.leaderTerm);
    if (stored.version > table.region.leadership.record.version)
        table.region.leadership.record = stored;
    const auto &pending = table.region.leadership.pendingRecord;
    if (pending && stored.version >= pending->version)
        table.region.leadership.pendingRecord.reset();
}

auto nextRecordTask(daemon_process &daemon, leadership_table &table, const configuration &wanted,
                    instant now) -> task
{
    if (table.writes.recordCallPending || now < table.writes.nextRecordAttempt)
        return {};
    const auto in = table.region.leadership.highestTerm;
    if (!table.writes.recordIndex) {
        table.writes.recordCallPending = true;
        return [&daemon, in] {
            storeRead(daemon, recordKey(daemon), [&daemon, in](const result<store_value> &ended) {
                handleStoredRecord(daemon, in, ended);
            });
        };
    }
    if (!table.region.leadership.pendingRecord)
        table.region.leadership.pendingRecord =
                proposeRecord(table.region.leadership, liveHosts(table, wanted, now));
    if (!table.region.leadership.pendingRecord)
        return {};
    table.writes.recordCallPending = true;
    const auto next = *table.region.leadership.pendingRecord;
    return [&daemon, next, in, index = *table.writes.recordIndex] {
        storeWrite(daemon, recordKey(daemon), toWire(next).SerializeAsString(), index,
                   [&daemon, next, in](const result<void> &ended) {
                       finishRecordWrite(daemon, next, in, ended);
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
    storeHostList(daemon, [&daemon](const result<host_list> &ended) {
        if (ended)
            applyHostList(daemon, *ended);
    });
    storeRead(daemon, configurationKey(), [&daemon](const result<store_value> &ended) {
        wire::Configuration message;
        if (ended && ended->index != 0 && message.ParseFromString(ended->value))
            adoptConfiguration(daemon, fromWire(message));
    });
}

} // namespace

auto runLeaderStep(daemon_process &daemon) -> void
{
    const auto wanted = currentConfiguration(daemon);
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
            planTable(table.region.planner, wanted, table.region.leadership.changesFrozenUntil,
                      now);
            writeNext = nextTableTask(daemon, table, now);
            recordNext = nextRecordTask(daemon, table, wanted, now);
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
