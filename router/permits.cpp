// Permits to send to backend servers, asked of the host that keeps a group's queue.
#include "router/permits.h"

#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// A keeper answers within the first time, if only to say that the request still waits; the
// slack is for the way and its scheduling. So a silent keeper is found soon.
constexpr duration answerTime = 150ms;
constexpr duration answerSlack = 120ms;
// A keeper that did not answer is not asked for this long, doubled for each time in a row.
constexpr duration firstSuspicion = 500ms;
constexpr duration longestSuspicion = 4s;
// After so many keepers without an answer this host keeps the queue itself.
constexpr std::size_t mostKeepersAsked = 2;
// What a keeper said of its wait is no longer a guide after this.
constexpr duration waitAge = 60ms;

using shared_group = std::shared_ptr<group_queue_table>;

auto findGroup(router_process &router, const group_id &id) -> shared_group
{
    const std::lock_guard guard(router.groups.lock);
    auto &group = router.groups.byId[id];
    if (!group)
        group = std::make_shared<group_queue_table>();
    return group;
}

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
        permit_server one;
        one.id = server;
        one.slots = entry.record.slots;
        one.usable = isUsable(directory, entry);
        one.coldUntil = coldUntil(entry);
        one.coldPerSecond = coldPerSecond;
        listed.push_back(std::move(one));
    }
    return listed;
}

// Brings the queue in line with the directory when that has changed.
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

auto serveGroup(router_process &router, const group_id &id, const shared_group &group) -> void;

auto scheduleLook(router_process &router, const group_id &id, const shared_group &group,
                  instant now) -> void
{
    const auto next = nextWakeup(group->queue, now);
    if (!next || *next >= group->nextWake)
        return;
    group->nextWake = *next;
    postAfter(*router.workers, *next - now, [&router, id, group] {
        {
            const std::lock_guard guard(group->lock);
            group->nextWake = instant::max();
        }
        if (!router.stopping)
            serveGroup(router, id, group);
    });
}

struct ready_answer
{
    permit_callback tell;
    permit_answer answer;
};

// The caller's callback is taken out once its request is answered.
auto takeCaller(group_queue_table &group, permit_number number) -> permit_callback
{
    const auto found = group.callers.find(number);
    if (found == group.callers.end())
        return {};
    auto callback = std::move(found->second);
    group.callers.erase(found);
    return callback;
}

auto collectAnswers(group_queue_table &group, instant now) -> std::vector<ready_answer>
{
    std::vector<ready_answer> answers;
    for (const auto &permit : issuePermits(group.queue, now)) {
        if (auto tell = takeCaller(group, permit.number))
            answers.push_back(
                    {std::move(tell), {permit.number, permit.server, refusal::None, 0us}});
    }
    for (const auto &refused : removeExpired(group.queue, now)) {
        const auto wait = expectedPermitWait(group.queue, {}, now);
        if (auto tell = takeCaller(group, refused.number))
            answers.push_back({std::move(tell), {0, {}, refused.reason, wait}});
    }
    return answers;
}

auto serveGroup(router_process &router, const group_id &id, const shared_group &group) -> void
{
    refreshServers(router, id, *group);
    std::vector<ready_answer> answers;
    {
        const std::lock_guard guard(group->lock);
        const auto now = monotonicNow();
        answers = collectAnswers(*group, now);
        scheduleLook(router, id, group, now);
    }
    for (const auto &one : answers) {
        if (one.answer.permit == 0)
            countRefusal(router.counted, id.service, one.answer.why);
        one.tell(one.answer);
    }
}

auto isFirstKeeper(router_process &router, const group_id &group) -> bool
{
    const std::lock_guard guard(router.members.lock);
    return keepersOf(router.members, group).front() == router.self.id;
}

auto askOwnQueue(router_process &router, const permit_ask &ask, const permit_callback &done) -> void
{
    const auto group = findGroup(router, ask.group);
    refreshServers(router, ask.group, *group);
    const auto first = isFirstKeeper(router, ask.group);
    const auto number = router.nextPermit++;
    auto why = refusal::None;
    duration wait = 0us;
    {
        const std::lock_guard guard(group->lock);
        const auto now = monotonicNow();
        group->queue.mayUseColdServers = first;
        permit_request request;
        request.number = number;
        request.route = ask.route;
        request.priority = ask.priority;
        request.owner = ask.owner;
        request.excluded = ask.excluded;
        request.arrived = ask.targetEnds - ask.target;
        request.targetEnds = ask.targetEnds;
        request.deadline = ask.deadline;
        request.acceptLate = ask.acceptLate;
        request.answerBy = ask.answerBy;
        why = admit(group->queue, request, now);
        if (why == refusal::None)
            group->callers[number] = done;
        else
            wait = expectedPermitWait(group->queue, ask.owner, now);
    }
    if (why != refusal::None) {
        countRefusal(router.counted, ask.group.service, why);
        done({0, {}, why, wait});
        return;
    }
    serveGroup(router, ask.group, group);
}

auto returnToOwnQueue(router_process &router, const group_id &id, const permit_return &returned)
        -> void
{
    const auto group = findGroup(router, id);
    {
        const std::lock_guard guard(group->lock);
        returnPermit(group->queue, returned, monotonicNow());
    }
    serveGroup(router, id, group);
}

auto toMessage(const permit_ask &ask, instant now) -> wire::PermitRequest
{
    wire::PermitRequest message;
    message.set_service(ask.group.service);
    message.set_failure_domain(ask.group.domain);
    message.set_request_id(ask.request);
    message.set_route(ask.route);
    message.set_priority(ask.priority);
    message.set_owner(ask.owner);
    for (const auto &server : ask.excluded)
        message.add_excluded(server);
    message.set_target_us(ask.target.count());
    message.set_target_left_us((ask.targetEnds - now).count());
    message.set_deadline_left_us((ask.deadline - now).count());
    message.set_accept_late(ask.acceptLate);
    return message;
}

auto fromMessage(const wire::PermitRequest &message, instant now) -> permit_ask
{
    permit_ask ask;
    ask.group = {message.service(), message.failure_domain()};
    ask.request = message.request_id();
    ask.route = message.route();
    ask.priority = message.priority();
    ask.owner = message.owner();
    ask.excluded.assign(message.excluded().begin(), message.excluded().end());
    ask.target = duration(message.target_us());
    ask.targetEnds = now + duration(message.target_left_us());
    ask.deadline = now + duration(message.deadline_left_us());
    ask.acceptLate = message.accept_late();
    ask.answerBy = now + answerTime;
    return ask;
}

auto suspect(router_process &router, const host_id &host, const error &why) -> void
{
    logEvent(log_level::Warn, "keeper_lost",
             {{"peer", host},
              {"code", std::string(nameIn(errorCodeNames, why.code))},
              {"detail", why.detail}});
    const auto now = monotonicNow();
    const std::lock_guard guard(router.members.lock);
    auto &doubt = router.members.doubts[host];
    // Requests that were on their way together count as one loss.
    if (now < doubt.until)
        return;
    extendSuspicion(doubt, firstSuspicion, longestSuspicion, now);
}

auto trust(router_process &router, const host_id &host) -> void
{
    const std::lock_guard guard(router.members.lock);
    router.members.doubts.erase(host);
}

// The first host that may keep the group's queue and is not suspected.
auto chooseKeeper(router_process &router, const group_id &group) -> member_host
{
    const auto now = monotonicNow();
    const std::lock_guard guard(router.members.lock);
    for (const auto &host : keepersOf(router.members, group)) {
        if (!isSuspected(router.members.doubts, host, now))
            return router.members.hosts.at(host);
    }
    return router.self;
}

struct permit_errand
{
    permit_ask ask;
    std::function<void(permit_outcome)> done;
    std::size_t keepersAsked = 0;
};

using shared_permit_errand = std::shared_ptr<permit_errand>;

auto conclude(router_process &router, const permit_errand &errand, const host_id &keeper,
              const permit_answer &answer) -> void
{
    permit_outcome outcome;
    outcome.why = answer.why;
    outcome.expectedWait = answer.expectedWait;
    if (answer.permit != 0)
        outcome.permit = held_permit{errand.ask.group, keeper, answer.permit, answer.server};
    else if (errand.ask.owner.empty()) {
        const std::lock_guard guard(router.groups.lock);
        router.groups.waits[errand.ask.group] = {answer.expectedWait, monotonicNow()};
    }
    errand.done(std::move(outcome));
}

auto askNextKeeper(router_process &router, const shared_permit_errand &errand) -> void
{
    auto keeper = chooseKeeper(router, errand->ask.group);
    if (errand->keepersAsked++ >= mostKeepersAsked)
        keeper = router.self;
    if (keeper.id == router.self.id) {
        askOwnQueue(router, errand->ask, [&router, errand](const permit_answer &answer) {
            conclude(router, *errand, router.self.id, answer);
        });
        return;
    }
    const auto now = monotonicNow();
    const auto wait = std::min(errand->ask.deadline - now, answerTime) + answerSlack;
    callRequestPermit(router.peers, keeper.peerAddress, toMessage(errand->ask, now), wait,
                      [&router, errand, keeper](const result<wire::PermitReply> &ended) {
                          if (!ended) {
                              suspect(router, keeper.id, ended.error());
                              askNextKeeper(router, errand);
                              return;
                          }
                          trust(router, keeper.id);
                          const auto why = static_cast<refusal>(ended->refusal());
                          if (why == refusal::StillWaiting) {
                              errand->keepersAsked = 0;
                              askNextKeeper(router, errand);
                              return;
                          }
                          conclude(router, *errand, keeper.id,
                                   {ended->permit(), ended->server_id(), why,
                                    duration(ended->expected_wait_us())});
                      });
}

} // namespace

auto askPermit(router_process &router, permit_ask ask, std::function<void(permit_outcome)> done)
        -> void
{
    askNextKeeper(
            router,
            std::make_shared<permit_errand>(permit_errand{std::move(ask), std::move(done), 0}));
}

auto givePermitBack(router_process &router, const held_permit &permit,
                    const permit_return &returned) -> void
{
    if (permit.keeper == router.self.id) {
        returnToOwnQueue(router, permit.group, returned);
        return;
    }
    std::string address;
    {
        const std::lock_guard guard(router.members.lock);
        const auto keeper = router.members.hosts.find(permit.keeper);
        // The permit of a host that has gone went with it.
        if (keeper == router.members.hosts.end())
            return;
        address = keeper->second.peerAddress;
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
    // A permit that does not get back ends by its time.
    if (!sendPermitReturn(router.peers, address, message))
        logEvent(log_level::Info, "permit_not_returned", {{"peer", permit.keeper}});
}

auto answerPermitRequest(router_process &router, const wire::PermitRequest &request,
                         peer_responder<wire::PermitReply> respond) -> void
{
    const auto ask = fromMessage(request, monotonicNow());
    askOwnQueue(router, ask, [respond = std::move(respond)](const permit_answer &answer) {
        wire::PermitReply reply;
        reply.set_permit(answer.permit);
        reply.set_server_id(answer.server);
        reply.set_refusal(static_cast<std::uint32_t>(answer.why));
        reply.set_expected_wait_us(answer.expectedWait.count());
        respond(std::move(reply));
    });
}

auto answerPermitReturn(router_process &router, const wire::PermitReturn &returned) -> void
{
    permit_return taken{returned.permit(), static_cast<permit_result>(returned.ended()),
                        duration(returned.latency_us()), std::nullopt};
    if (returned.has_load())
        taken.load = load_report{returned.running(), returned.waiting(), returned.slots(),
                                 returned.noise()};
    returnToOwnQueue(router, {returned.service(), returned.failure_domain()}, taken);
}

auto heardWait(router_process &router, const group_id &group) -> std::optional<duration>
{
    const std::lock_guard guard(router.groups.lock);
    const auto found = router.groups.waits.find(group);
    if (found == router.groups.waits.end() || monotonicNow() - found->second.at > waitAge)
        return std::nullopt;
    return found->second.wait;
}

} // namespace parsleyloft
