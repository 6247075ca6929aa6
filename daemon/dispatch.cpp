// Requests at the host that holds their group: admission, queueing and dispatch to the servers.
#include "daemon/dispatch.h"

#include "codec/assignment_codec.h"
#include "daemon/attempt.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// Idempotent work without keys continues in this host's failure domain when it is cut off from
// the leader.
auto mayContinueIdempotent(const daemon_process &daemon, const group_id &group,
                           const pending_request &request) -> bool
{
    const auto *service = findService(daemon.services, group.service);
    return request.work.mayRepeat && service != nullptr && !service->keyed
            && group.domain == daemon.self.domain;
}

// Called with the holdings locked.
auto maySend(daemon_process &daemon, const group_id &group, const pending_request &request,
             instant now) -> bool
{
    const auto &state = daemon.holdings.state;
    if (request.owner.empty()) {
        const auto lapsed = now >= state.leaseEnds;
        return mayUseGroup(state, group, now)
                || (lapsed && mayContinueIdempotent(daemon, group, request));
    }
    const shard_id shard{group.service, request.shard};
    const auto *assigned = findShard(state.table, shard);
    return assigned != nullptr && assigned->owner == request.owner
            && mayUseShard(state, shard, now);
}

auto asAtMostOnce(const pending_request &request, bool repeated) -> at_most_once_request
{
    at_most_once_request asked{request.id, repeated, request.work.maxWait, std::nullopt};
    if (!request.owner.empty())
        asked.shard = request.shard;
    return asked;
}

// Called with holdings and group locked, once the request may be sent.
auto recordShardOf(const daemon_process &daemon, group_table &table, const group_id &group,
                   const pending_request &request, instant now) -> void
{
    const auto *shard = findShard(daemon.holdings.state.table, {group.service, request.shard});
    if (!request.owner.empty() && shard != nullptr)
        recordShard(table.history, request.shard, shard->grantEpoch, now);
}

struct admission
{
    // Set when the request is not queued. It is delivered after the locks are released.
    std::optional<request_outcome> immediate;
    // A queued request that was shed to admit this one.
    std::optional<shared_request> shed;
};

// Called with the group locked.
auto admit(group_table &table, const shared_request &request, bool repeated, instant now)
        -> admission
{
    if (!request->work.mayRepeat) {
        const auto known = beginAtMostOnce(table.history, asAtMostOnce(*request, repeated), now);
        if (known)
            return {known, std::nullopt};
    }
    const auto number = table.nextTicket++;
    const queued_request queued{number, request->work.name, request->owner, request->shard,
                                now,    request->deadline};
    const auto offered = offer(table.queue, queued, request->work.maxRefusedPermille, now);
    if (!offered.admitted) {
        if (!request->work.mayRepeat)
            endAtMostOnce(table.history, request->id, notRun(offered.refusal), now);
        return {notRun(offered.refusal), std::nullopt};
    }
    table.waiting[number] = request;
    admission result;
    if (offered.shed) {
        result.shed = table.waiting[*offered.shed];
        table.waiting.erase(*offered.shed);
        endAtMostOnce(table.history, (*result.shed)->id, notRun(reason::ShedForOthers), now);
    }
    return result;
}

// Schedules a dispatch at the earliest deadline of the queued requests.
auto scheduleDeadlineCheck(daemon_process &daemon, const group_id &group, group_table &table,
                           instant now) -> void
{
    auto next = instant::max();
    for (const auto &[owner, lane] : table.queue.lanes) {
        if (!lane.empty())
            next = std::min(next, lane.begin()->deadline);
    }
    const auto scheduled = table.nextDeadline > now && table.nextDeadline <= next;
    if (next == instant::max() || scheduled)
        return;
    table.nextDeadline = next;
    postAfter(*daemon.workers, std::max(next - now, duration(1)),
              [&daemon, group] { dispatchGroup(daemon, group); });
}

} // namespace

auto returnRequests(const std::vector<shared_request> &requests, reason why) -> void
{
    for (const auto &request : requests)
        request->respond(notRun(why));
}

auto removeRequests(group_table &table, const std::vector<ticket> &tickets, instant now)
        -> std::vector<shared_request>
{
    std::vector<shared_request> taken;
    for (const auto number : tickets) {
        const auto found = table.waiting.find(number);
        if (found == table.waiting.end())
            continue;
        endAtMostOnce(table.history, found->second->id, notRun(reason::None), now);
        taken.push_back(found->second);
        table.waiting.erase(found);
    }
    return taken;
}

auto acceptRequest(daemon_process &daemon, const group_id &group, const shared_request &request,
                   bool repeated) -> void
{
    const auto table = groupTable(daemon, group);
    admission admitted;
    {
        const std::scoped_lock guard(daemon.holdings.lock, table->lock);
        const auto now = monotonicNow();
        releaseIfLeaseEnded(daemon.holdings.state, now);
        if (maySend(daemon, group, *request, now)) {
            recordShardOf(daemon, *table, group, *request, now);
            admitted = admit(*table, request, repeated, now);
        } else {
            admitted.immediate = notRun(reason::WrongHolder);
        }
    }
    if (admitted.shed)
        (*admitted.shed)->respond(notRun(reason::ShedForOthers));
    if (admitted.immediate)
        request->respond(*admitted.immediate);
    else
        dispatchGroup(daemon, group);
}

auto dispatchGroup(daemon_process &daemon, const group_id &group) -> void
{
    const auto table = groupTable(daemon, group);
    std::vector<shared_request> expired;
    std::vector<shared_request> unsendable;
    std::vector<attempt> attempts;
    {
        const std::scoped_lock guard(daemon.holdings.lock, table->lock);
        const auto now = monotonicNow();
        releaseIfLeaseEnded(daemon.holdings.state, now);
        expired = removeRequests(*table, removeExpired(table->queue, now), now);
        for (const auto &start : startRequests(table->queue, now)) {
            const auto request = table->waiting.at(start.request.number);
            table->waiting.erase(start.request.number);
            if (maySend(daemon, group, *request, now)) {
                attempts.push_back(beginAttempt(daemon, *table, group, request, start.server, now));
                continue;
            }
            finish(table->queue, start.server, attempt_result::Failed, 0us);
            endAtMostOnce(table->history, request->id, notRun(reason::WrongHolder), now);
            unsendable.push_back(request);
        }
        scheduleDeadlineCheck(daemon, group, *table, now);
    }
    returnRequests(expired, reason::DeadlinePassed);
    returnRequests(unsendable, reason::WrongHolder);
    for (auto &started : attempts)
        sendAttempt(daemon, std::move(started));
}

} // namespace parsleyloft
