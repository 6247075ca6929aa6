// Requests permits from the queue hosts of groups, and runs the permit queues of this host.
#include "router/permits.h"

#include "decisions/group_preference.h"
#include "router/site_sync.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// A queue host answers within queueAnswerLimit, with StillWaiting when the request still waits, so
// that an unresponsive queue host is detected soon. The margin covers the network and scheduling.
constexpr duration queueAnswerLimit = 150ms;
constexpr duration transitMargin = 120ms;
// A queue host that did not answer is not called for this long, doubled for each time in a row.
constexpr duration minSuspicion = 500ms;
constexpr duration maxSuspicion = 4s;
// After this many queue hosts without an answer the request goes to the queue of this host.
constexpr std::size_t maxQueueHostsAsked = 2;

using shared_group = std::shared_ptr<group_queue_table>;

auto findQueue(router_process &router, const group_id &id) -> shared_group
{
    const std::lock_guard guard(router.groups.lock);
    auto &group = router.groups.byId[id];
    if (!group)
        group = std::make_shared<group_queue_table>();
    return group;
}

// The group's servers as the directory has them.
auto listServers(router_process &router, const group_id &id) -> std::vector<permit_server>
{
    double coldPerSecond = 0;
    if (const auto routes = currentRoutes(router)) {
        const auto service = routes->configuration.services.find(id.service);
        if (service != routes->configuration.services.end())
            coldPerSecond = service->second.coldPerSecond;
    }
    std::vector<permit_server> listed;
    const std::lock_guard guard(router.directory.lock);
    const auto &directory = router.directory.directory;
    for (const auto &[server, entry] : directory.entries) {
        if (entry.record.service != id.service || entry.record.domain != id.domain)
            continue;
        permit_server permitServer;
        permitServer.id = server;
        permitServer.slots = entry.record.slots;
        permitServer.usable = isUsable(directory, entry);
        permitServer.coldUntil = coldUntil(entry);
        permitServer.coldPerSecond = coldPerSecond;
        listed.push_back(std::move(permitServer));
    }
    return listed;
}

// Updates the queue's servers when the directory has changed.
auto refreshServers(router_process &router, const group_id &id, group_queue_table &group) -> void
{
    const std::uint64_t version = router.directory.version;
    {
        const std::lock_guard guard(group.lock);
        if (group.directoryVersion == version)
            return;
    }
    const auto listed = listServers(router, id);
    const std::lock_guard guard(group.lock);
    group.directoryVersion = version;
    setPermitServers(group.queue, listed);
}

// Issues the permits that are due, and answers the requests that have waited too long.
auto processQueue(router_process &router, const group_id &id, const shared_group &group) -> void;

// Called with the group's lock held.
auto scheduleProcessing(router_process &router, const group_id &id, const shared_group &group,
                        instant now) -> void
{
    const auto next = nextWakeup(group->queue, now);
    if (!next || *next >= group->nextProcessing)
        return;
    group->nextProcessing = *next;
    postAfter(*router.workers, *next - now, [&router, id, group] {
        {
            const std::lock_guard guard(group->lock);
            group->nextProcessing = instant::max();
        }
        if (!router.stopping)
            processQueue(router, id, group);
    });
}

// An answer that is sent once the group's lock is released.
struct pending_answer
{
    permit_callback callback;
    permit_answer answer;
};

// Removes and returns the callback of a request, or returns an empty one.
auto takeCallback(group_queue_table &group, permit_number number) -> permit_callback
{
    const auto found = group.callbacks.find(number);
    if (found == group.callbacks.end())
        return {};
    auto callback = std::move(found->second);
    group.callbacks.erase(found);
    return callback;
}

auto collectAnswers(group_queue_table &group, instant now) -> std::vector<pending_answer>
{
    std::vector<pending_answer> answers;
    const auto permits = issuePermits(group.queue, now);
    const auto expired = removeExpired(group.queue, now);
    if (permits.empty() && expired.empty())
        return answers;
    // The wait concerns requests that any server may run. The queues of a keyed service have none,
    // and all their servers would be visited for it.
    const auto needsWait = !expired.empty() || group.queue.lanes.empty();
    const auto wait = needsWait ? expectedPermitWait(group.queue, {}, now) : 0us;
    for (const auto &permit : permits) {
        if (auto callback = takeCallback(group, permit.number))
            answers.push_back({std::move(callback),
                               {permit.number, permit.server, refusal::None, wait, 0us}});
    }
    for (const auto &refused : expired) {
        if (auto callback = takeCallback(group, refused.number))
            answers.push_back(
                    {std::move(callback), {0, {}, refused.reason, wait, refused.returnAfter}});
    }
    return answers;
}

auto processQueue(router_process &router, const group_id &id, const shared_group &group) -> void
{
    refreshServers(router, id, *group);
    std::vector<pending_answer> answers;
    {
        const std::lock_guard guard(group->lock);
        const auto now = monotonicNow();
        answers = collectAnswers(*group, now);
        scheduleProcessing(router, id, group, now);
    }
    for (const auto &pending : answers) {
        if (pending.answer.permit == 0)
            countRefusal(router.metrics, id.service, pending.answer.reason);
        pending.callback(pending.answer);
    }
}

auto isPreferredQueueHost(router_process &router, const group_id &group) -> bool
{
    const std::lock_guard guard(router.members.lock);
    return queueHostsFor(router.members, group).front() == router.self.id;
}

auto requestFromOwnQueue(router_process &router, const group_permit_request &request,
                         const permit_callback &done) -> void
{
    const auto group = findQueue(router, request.group);
    refreshServers(router, request.group, *group);
    const auto preferred = isPreferredQueueHost(router, request.group);
    const auto number = router.nextPermit++;
    auto reason = refusal::None;
    duration wait = 0us;
    duration returnAfter = 0us;
    {
        const std::lock_guard guard(group->lock);
        const auto now = monotonicNow();
        group->queue.mayUseColdServers = preferred;
        permit_request queued;
        queued.number = number;
        queued.route = request.route;
        queued.priority = request.priority;
        queued.key = request.key;
        queued.account = request.account;
        queued.owner = request.owner;
        queued.excluded = request.excluded;
        queued.arrived = request.targetEnds - request.target;
        queued.targetEnds = request.targetEnds;
        queued.deadline = request.deadline;
        queued.acceptLate = request.acceptLate;
        queued.immediate = request.immediate;
        queued.answerBy = request.answerBy;
        queued.askedAgain = request.askedAgain;
        reason = admit(group->queue, queued, now);
        if (reason == refusal::None)
            group->callbacks[number] = done;
        else {
            wait = expectedPermitWait(group->queue, request.owner, now);
            returnAfter = planReturnOf(group->queue, queued, now);
        }
    }
    if (reason != refusal::None) {
        countRefusal(router.metrics, request.group.service, reason);
        done({0, {}, reason, wait, returnAfter});
        return;
    }
    processQueue(router, request.group, group);
}

auto returnToOwnQueue(router_process &router, const group_id &id, const permit_return &returned)
        -> void
{
    const auto group = findQueue(router, id);
    {
        const std::lock_guard guard(group->lock);
        returnPermit(group->queue, returned, monotonicNow());
    }
    processQueue(router, id, group);
}

auto toMessage(const group_permit_request &request, instant now) -> wire::PermitRequest
{
    wire::PermitRequest message;
    message.set_service(request.group.service);
    message.set_failure_domain(request.group.domain);
    message.set_request_id(request.request);
    message.set_route(request.route);
    message.set_priority(request.priority);
    if (request.key)
        message.set_key(*request.key);
    message.set_account(request.account);
    message.set_owner(request.owner);
    for (const auto &server : request.excluded)
        message.add_excluded(server);
    message.set_target_us(request.target.count());
    message.set_target_left_us((request.targetEnds - now).count());
    message.set_deadline_left_us((request.deadline - now).count());
    message.set_accept_late(request.acceptLate);
    message.set_asked_again(request.askedAgain);
    message.set_immediate(request.immediate);
    return message;
}

auto fromMessage(const wire::PermitRequest &message, instant now) -> group_permit_request
{
    group_permit_request request;
    request.group = {message.service(), message.failure_domain()};
    request.request = message.request_id();
    request.route = message.route();
    request.priority = message.priority();
    if (message.has_key())
        request.key = message.key();
    request.account = message.account();
    request.owner = message.owner();
    request.excluded.assign(message.excluded().begin(), message.excluded().end());
    request.target = duration(message.target_us());
    request.targetEnds = now + duration(message.target_left_us());
    request.deadline = now + duration(message.deadline_left_us());
    request.acceptLate = message.accept_late();
    request.askedAgain = message.asked_again();
    request.immediate = message.immediate();
    request.answerBy = now + queueAnswerLimit;
    return request;
}

auto markSuspected(router_process &router, const host_id &host, const error &cause) -> void
{
    logEvent(log_level::Warn, "queue_host_unresponsive",
             {{"peer", host},
              {"code", std::string(nameIn(errorCodeNames, cause.code))},
              {"detail", cause.detail}});
    const auto now = monotonicNow();
    const std::lock_guard guard(router.members.lock);
    auto &suspicion = router.members.suspicions[host];
    // Concurrent calls that fail together count as one failure.
    if (now < suspicion.until)
        return;
    extendSuspicion(suspicion, minSuspicion, maxSuspicion, now);
}

auto clearSuspicion(router_process &router, const host_id &host) -> void
{
    const std::lock_guard guard(router.members.lock);
    router.members.suspicions.erase(host);
}

// The most preferred queue host of the group that is not suspected.
auto chooseQueueHost(router_process &router, const group_id &group) -> member_host
{
    const auto now = monotonicNow();
    const std::lock_guard guard(router.members.lock);
    for (const auto &host : queueHostsFor(router.members, group)) {
        if (!isSuspected(router.members.suspicions, host, now))
            return router.members.hosts.at(host);
    }
    return router.self;
}

// A permit request under way, and the number of queue hosts it was sent to.
struct pending_permit
{
    group_permit_request request;
    std::function<void(permit_outcome)> done;
    std::size_t queueHostsAsked = 0;
};

using shared_pending_permit = std::shared_ptr<pending_permit>;

auto reportOutcome(router_process &router, const pending_permit &pending, const host_id &queueHost,
                   const permit_answer &answer) -> void
{
    permit_outcome outcome;
    outcome.reason = answer.reason;
    outcome.expectedWait = answer.expectedWait;
    outcome.returnAfter = answer.returnAfter;
    if (answer.permit != 0)
        outcome.permit =
                held_permit{pending.request.group, queueHost, answer.permit, answer.server};
    if (pending.request.owner.empty()) {
        const std::lock_guard guard(router.groups.lock);
        router.groups.reportedWaits[pending.request.group] = {answer.expectedWait, monotonicNow()};
    }
    pending.done(std::move(outcome));
}

auto askNextQueueHost(router_process &router, const shared_pending_permit &pending) -> void
{
    auto queueHost = chooseQueueHost(router, pending->request.group);
    if (pending->queueHostsAsked++ >= maxQueueHostsAsked)
        queueHost = router.self;
    if (queueHost.id == router.self.id) {
        requestFromOwnQueue(router, pending->request,
                            [&router, pending](const permit_answer &answer) {
                                reportOutcome(router, *pending, router.self.id, answer);
                            });
        return;
    }
    const auto now = monotonicNow();
    const auto timeout =
            std::min(pending->request.deadline - now, queueAnswerLimit) + transitMargin;
    callRequestPermit(router.peers, queueHost.peerAddress, toMessage(pending->request, now),
                      timeout,
                      [&router, pending, queueHost](const result<wire::PermitReply> &reply) {
                          if (!reply) {
                              markSuspected(router, queueHost.id, reply.error());
                              askNextQueueHost(router, pending);
                              return;
                          }
                          clearSuspicion(router, queueHost.id);
                          const auto reason = static_cast<refusal>(reply->refusal());
                          if (reason == refusal::StillWaiting) {
                              pending->queueHostsAsked = 0;
                              pending->request.askedAgain = true;
                              askNextQueueHost(router, pending);
                              return;
                          }
                          reportOutcome(router, *pending, queueHost.id,
                                        {reply->permit(), reply->server_id(), reason,
                                         duration(reply->expected_wait_us()),
                                         duration(reply->retry_after_us())});
                      });
}

} // namespace

auto requestPermit(router_process &router, group_permit_request request,
                   std::function<void(permit_outcome)> done) -> void
{
    askNextQueueHost(router,
                     std::make_shared<pending_permit>(
                             pending_permit{std::move(request), std::move(done), 0}));
}

auto returnHeldPermit(router_process &router, const held_permit &permit,
                      const permit_return &returned) -> void
{
    if (permit.queueHost == router.self.id) {
        returnToOwnQueue(router, permit.group, returned);
        return;
    }
    std::string address;
    {
        const std::lock_guard guard(router.members.lock);
        const auto queueHost = router.members.hosts.find(permit.queueHost);
        // When the queue host is gone, its queue and the permit no longer exist.
        if (queueHost == router.members.hosts.end())
            return;
        address = queueHost->second.peerAddress;
    }
    wire::PermitReturn message;
    message.set_service(permit.group.service);
    message.set_failure_domain(permit.group.domain);
    message.set_permit(permit.number);
    message.set_ended(static_cast<std::uint32_t>(returned.result));
    message.set_latency_us(returned.latency.count());
    if (returned.load) {
        message.set_has_load(true);
        message.set_running(returned.load->running);
        message.set_waiting(returned.load->waiting);
        message.set_slots(returned.load->slots);
        message.set_noise(returned.load->noise);
    }
    if (returned.leavingStartMs) {
        message.mutable_leaving()->set_server_id(permit.server);
        message.mutable_leaving()->set_start_time_ms(*returned.leavingStartMs);
    }
    // The queue host drops a permit that is not returned when it expires.
    if (!sendPermitReturn(router.peers, address, message))
        logEvent(log_level::Info, "permit_return_not_sent", {{"peer", permit.queueHost}});
}

auto answerPermitRequest(router_process &router, const wire::PermitRequest &request,
                         peer_responder<wire::PermitReply> respond) -> void
{
    const auto decoded = fromMessage(request, monotonicNow());
    requestFromOwnQueue(router, decoded,
                        [respond = std::move(respond)](const permit_answer &answer) {
                            wire::PermitReply reply;
                            reply.set_permit(answer.permit);
                            reply.set_server_id(answer.server);
                            reply.set_refusal(static_cast<std::uint32_t>(answer.reason));
                            reply.set_expected_wait_us(answer.expectedWait.count());
                            reply.set_retry_after_us(answer.returnAfter.count());
                            respond(std::move(reply));
                        });
}

auto answerPermitReturn(router_process &router, const wire::PermitReturn &returned) -> void
{
    if (returned.has_leaving())
        adoptLeavingServer(router, returned.leaving().server_id(),
                           returned.leaving().start_time_ms());
    permit_return decoded;
    decoded.number = returned.permit();
    decoded.result = static_cast<permit_result>(returned.ended());
    decoded.latency = duration(returned.latency_us());
    if (returned.has_load())
        decoded.load = load_report{returned.running(), returned.waiting(), returned.slots(),
                                   returned.noise()};
    returnToOwnQueue(router, {returned.service(), returned.failure_domain()}, decoded);
}

auto reportedWait(router_process &router, const group_id &group) -> std::optional<duration>
{
    const std::lock_guard guard(router.groups.lock);
    const auto found = router.groups.reportedWaits.find(group);
    if (found == router.groups.reportedWaits.end())
        return std::nullopt;
    return remainingWait(found->second.wait, monotonicNow() - found->second.receivedAt);
}

} // namespace parsleyloft
