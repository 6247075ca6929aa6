// A model of a region with hosts, servers and a key-value service under simulated time.
#include "tests/support/model_region.h"

#include <iostream>
#include <random>

namespace parsleyloft::model {

namespace {

constexpr std::size_t hostCount = 5;
constexpr std::size_t serverCount = 3;
constexpr shard_index shardCount = 4;
constexpr duration exchangePeriod = 150ms;
constexpr duration stepPeriod = 50ms;
constexpr duration checkPeriod = 10ms;
constexpr duration faultPeriod = 400ms;
constexpr duration callTimeout = 400ms;

using model_time = duration;

// A clock with its own offset and rate.
struct model_clock
{
    std::int64_t offsetUs = 0;
    std::int64_t driftPpm = 0;
};

auto readClock(const model_clock &clock, model_time now) -> instant
{
    const auto elapsed = now.count() + now.count() * clock.driftPpm / 1'000'000;
    return instant(duration(clock.offsetUs + elapsed));
}

struct model_host
{
    host_info info;
    model_clock clock;
    start_number start = 0;
    region_state region;
    holdings_state holdings;
    std::map<server_id, server_grant_state> grants;
    std::set<server_id> lostServers;
    std::map<host_id, instant> lastContacts;
    instant nextRecovery{};
    bool tableCallPending = false;
    bool recordCallPending = false;
    std::optional<std::uint64_t> tableIndex;
    std::optional<std::uint64_t> recordIndex;
    bool tableRead = false;
    model_time pausedUntil{};
    // Rises with each restart. Messages to an earlier incarnation are not delivered.
    std::uint64_t incarnation = 0;
    std::size_t nextPeer = 0;
};

struct model_server
{
    server_info info;
    model_clock clock;
    start_number start = 1;
    model_time frozenUntil{};
    epoch groupEpoch;
    std::uint64_t sequence = 0;
    instant until{};
    std::map<shard_index, epoch> shards;
};

struct stored_value
{
    std::uint64_t index = 0;
    std::optional<member_record> record;
    std::optional<assignment_table> table;
};

struct scheduled_event
{
    model_time time{};
    std::uint64_t order = 0;
    std::function<void()> run;
};

struct later_first
{
    auto operator()(const scheduled_event &left, const scheduled_event &right) const -> bool
    {
        return std::tie(left.time, left.order) > std::tie(right.time, right.order);
    }
};

struct model_region
{
    run_options options;
    run_result result;
    pcg32 random;
    model_time now{};
    std::uint64_t nextOrder = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, later_first> events;
    std::vector<model_host> hosts;
    std::vector<model_server> servers;
    stored_value recordKey;
    stored_value tableKey;
    std::uint64_t nextIndex = 1;
    bool storeDown = false;
    model_time storeDownUntil{};
    // Until when a host is cut off from the other hosts, the servers and the store.
    std::map<host_id, model_time> cutUntil;
    configuration config;
    std::vector<server_id> lastOwner;
    std::vector<epoch> highestEpochs;
};

auto draw(model_region &model, std::uint32_t below) -> std::uint32_t
{
    return model.random(below);
}

auto drawLength(model_region &model, duration bound) -> duration
{
    return duration(draw(model, static_cast<std::uint32_t>(bound.count())));
}

auto inFaultPhase(const model_region &model) -> bool
{
    return model.now < model.options.withFaults;
}

auto schedule(model_region &model, duration delay, std::function<void()> run) -> void
{
    model.events.push({model.now + delay, model.nextOrder++, std::move(run)});
}

auto trace(const model_region &model, const std::string &text) -> void
{
    if (model.options.trace)
        std::cout << model.now.count() << " " << text << "\n";
}

auto describe(const assignment_table &table) -> std::string
{
    auto text = toString(table.leaderTerm) + "/" + std::to_string(table.version);
    for (const auto &[id, group] : table.groups)
        text += " " + id.domain + "=" + group.holder + "@" + toString(group.grantEpoch) + "("
                + std::string(nameIn(assignmentPhaseNames, group.phase)) + ")";
    for (const auto &[service, shards] : table.shards) {
        for (const auto &shard : shards)
            text += " " + shard.owner + "@" + toString(shard.grantEpoch) + "("
                    + std::string(nameIn(assignmentPhaseNames, shard.phase)) + ")";
    }
    return text;
}

auto reportBreach(model_region &model, const std::string &text) -> void
{
    trace(model, "BREACH " + text);
    if (model.result.breach.empty())
        model.result.breach = "at " + std::to_string(model.now.count()) + " us: " + text;
}

auto clockOf(const model_region &model, const model_host &host) -> instant
{
    return readClock(host.clock, model.now);
}

auto isCut(const model_region &model, const host_id &host) -> bool
{
    const auto found = model.cutUntil.find(host);
    return found != model.cutUntil.end() && model.now < found->second;
}

auto isPaused(const model_region &model, const model_host &host) -> bool
{
    return model.now < host.pausedUntil;
}

// Runs work at a host, after its pause if it is paused, unless it has restarted since.
auto runAtHost(model_region &model, std::size_t index, std::uint64_t incarnation,
               const std::function<void()> &work) -> void
{
    auto &host = model.hosts[index];
    if (host.incarnation != incarnation)
        return;
    if (!isPaused(model, host)) {
        work();
        return;
    }
    schedule(model, host.pausedUntil - model.now,
             [&model, index, incarnation, work] { runAtHost(model, index, incarnation, work); });
}

// The delays of a message's deliveries: none when it is dropped, two when it is duplicated.
auto drawDeliveries(model_region &model) -> std::vector<duration>
{
    if (!inFaultPhase(model))
        return {duration(500)};
    const auto kind = draw(model, 100);
    if (kind < 5)
        return {};
    const auto slow = draw(model, 20) == 0;
    std::vector<duration> delays{drawLength(model, slow ? 3s : 20ms)};
    if (kind < 10)
        delays.push_back(drawLength(model, 3s));
    return delays;
}

auto sendToHost(model_region &model, std::size_t from, std::size_t to,
                const std::function<void()> &work) -> void
{
    for (const auto delay : drawDeliveries(model)) {
        const auto incarnation = model.hosts[to].incarnation;
        schedule(model, delay, [&model, from, to, incarnation, work] {
            const auto cut = isCut(model, model.hosts[from].info.id)
                    || isCut(model, model.hosts[to].info.id);
            if (from == to || !cut)
                runAtHost(model, to, incarnation, work);
        });
    }
}

auto indexOf(const model_region &model, const host_id &id) -> std::size_t
{
    for (std::size_t index = 0; index < model.hosts.size(); ++index) {
        if (model.hosts[index].info.id == id)
            return index;
    }
    return model.hosts.size();
}

auto asMember(const model_host &host) -> member
{
    return {host.info.id, host.start, host.info.domain};
}

// --- exchanges -----------------------------------------------------------------------

auto breakLeaseRules(const model_region &model, model_host &host) -> void
{
    if (model.options.broken == broken_rule::NeverStop && host.holdings.leaseEnds != instant{})
        host.holdings.leaseEnds = instant::max() - 60min;
    if (model.options.broken == broken_rule::EpochResumed) {
        host.holdings.releasedGroups.clear();
        host.holdings.releasedShards.clear();
    }
}

auto makeRequest(model_region &model, std::size_t index) -> exchange_request
{
    auto &host = model.hosts[index];
    exchange_request request;
    request.report.host = host.info;
    request.report.start = host.start;
    addLeadership(host.region, request);
    addHoldings(host.holdings, host.region.tableWanted, clockOf(model, host), request);
    for (const auto &[server, grant] : host.grants) {
        const auto group = findGroupOfServer(host.holdings.table, server);
        const auto holds = group && host.holdings.table.groups[*group].holder == host.info.id;
        if (holds && (grant.clockKnown || grant.lost))
            request.report.serverReachable[server] = !host.lostServers.contains(server);
    }
    return request;
}

auto handleReply(model_region &model, std::size_t index, const exchange_reply &reply,
                 instant sentAt) -> void
{
    auto &host = model.hosts[index];
    const auto now = clockOf(model, host);
    host.lastContacts[reply.from] = now;
    if (applyReplyToRegion(host.region, reply, now)
        && applyReplyToHoldings(host.holdings, reply, sentAt, now))
        trace(model, host.info.id + " applies " + describe(host.holdings.table));
    breakLeaseRules(model, host);
}

auto runExchange(model_region &model, std::size_t index) -> void
{
    auto &host = model.hosts[index];
    const auto sentAt = clockOf(model, host);
    const auto request = makeRequest(model, index);
    auto to = index;
    if (host.region.leadership.role != leadership_role::Leader) {
        to = indexOf(model, host.region.leaderHint);
        if (to >= hostCount || to == index || draw(model, 8) == 0)
            to = (index + 1 + host.nextPeer++ % (hostCount - 1)) % hostCount;
    }
    const auto incarnation = host.incarnation;
    sendToHost(model, index, to, [&model, index, to, request, sentAt, incarnation] {
        auto &peer = model.hosts[to];
        const auto reply = answerExchange(peer.region, request, clockOf(model, peer));
        sendToHost(model, to, index, [&model, index, reply, sentAt, incarnation] {
            const auto &requester = model.hosts[index];
            if (requester.incarnation == incarnation
                && clockOf(model, requester) < sentAt + callTimeout)
                handleReply(model, index, reply, sentAt);
        });
    });
}

// --- the key-value service -----------------------------------------------------------

// Calls the key-value service from a host. The reply may be lost after the call took effect.
auto callStore(model_region &model, std::size_t index, std::function<void()> effect,
               std::function<void(bool)> answer) -> void
{
    const auto incarnation = model.hosts[index].incarnation;
    const auto faulty = inFaultPhase(model);
    const auto delay = faulty ? drawLength(model, 30ms) : duration(500);
    const auto requestLost = model.storeDown || isCut(model, model.hosts[index].info.id)
            || (faulty && draw(model, 50) == 0);
    const auto replyLost = faulty && draw(model, 15) == 0;
    auto answered = std::make_shared<bool>(false);
    if (!requestLost) {
        const auto extraDelay =
                faulty && draw(model, 30) == 0 ? drawLength(model, 2s) : duration(0);
        schedule(model, delay + extraDelay,
                 [&model, index, incarnation, effect, answer, answered, replyLost] {
                     effect();
                     if (replyLost || *answered)
                         return;
                     *answered = true;
                     runAtHost(model, index, incarnation, [answer] { answer(true); });
                 });
    }
    schedule(model, callTimeout, [&model, index, incarnation, answer, answered] {
        if (*answered)
            return;
        *answered = true;
        runAtHost(model, index, incarnation, [answer] { answer(false); });
    });
}

auto writeIfUnchanged(model_region &model, stored_value &key, std::uint64_t index,
                      stored_value next) -> bool
{
    if (key.index != index)
        return false;
    next.index = model.nextIndex++;
    key = std::move(next);
    return true;
}

auto leadsInTerm(const model_host &host, term expectedTerm) -> bool
{
    return host.region.leadership.role == leadership_role::Leader
            && host.region.leadership.highestTerm == expectedTerm;
}

// --- elections -----------------------------------------------------------------------

auto breakElectionRules(const model_region &model, model_host &host, instant now) -> void
{
    auto &state = host.region.leadership;
    if (model.options.broken == broken_rule::NoConsent
        && state.role == leadership_role::Candidate) {
        for (const auto &member : state.record.members)
            handleConsentReply(
                    state, {member.host, member.start, true, state.highestTerm, state.record}, now);
    }
    if (model.options.broken == broken_rule::NoWaitBeforeChange)
        state.changesFrozenUntil = instant{};
    if (model.options.broken == broken_rule::NoPromiseCheck)
        state.promisedUntil = instant{};
}

auto countIfElected(model_region &model, bool elected) -> void
{
    if (elected)
        ++model.result.elections;
}

auto requestConsents(model_region &model, std::size_t index, const consent_request &request) -> void
{
    for (const auto &member : request.record.members) {
        const auto to = indexOf(model, member.host);
        if (to == index)
            continue;
        sendToHost(model, index, to, [&model, index, to, request] {
            auto &peer = model.hosts[to];
            breakElectionRules(model, peer, clockOf(model, peer));
            const auto reply = decideConsent(peer.region.leadership, request, clockOf(model, peer));
            trace(model,
                  peer.info.id + (reply.granted ? " consents to " : " refuses ") + request.candidate
                          + " " + toString(request.requestedTerm) + " record "
                          + std::to_string(request.record.version) + ", own highest "
                          + toString(reply.highestTerm) + " record "
                          + std::to_string(reply.record.version) + " of "
                          + std::to_string(reply.record.members.size()));
            if (reply.granted) {
                peer.region.stampToReturn.reset();
                peer.region.leaderHint = request.candidate;
            }
            sendToHost(model, to, index, [&model, index, reply] {
                auto &host = model.hosts[index];
                const auto now = clockOf(model, host);
                countIfElected(model, handleConsentReply(host.region.leadership, reply, now));
            });
        });
    }
}

auto startCandidacy(model_region &model, std::size_t index, std::optional<std::uint32_t> generation)
        -> void
{
    auto &host = model.hosts[index];
    auto &state = host.region.leadership;
    const auto now = clockOf(model, host);
    breakElectionRules(model, host, now);
    const auto request = becomeCandidate(state, now, generation);
    if (!request)
        return;
    trace(model, host.info.id + " becomes candidate for " + toString(request->requestedTerm));
    const consent_reply own{state.self, state.start, true, state.highestTerm, state.record};
    countIfElected(model, handleConsentReply(state, own, now));
    breakElectionRules(model, host, now);
    requestConsents(model, index, *request);
}

auto startCandidacyByStore(model_region &model, std::size_t index) -> void
{
    auto read = std::make_shared<stored_value>();
    callStore(
            model, index, [&model, read] { *read = model.recordKey; },
            [&model, index, read](bool answered) {
                auto &host = model.hosts[index];
                if (!answered)
                    return;
                auto &state = host.region.leadership;
                if (read->record)
                    adoptNewerRecord(state, *read->record);
                state.recordRead = true;
                const auto now = clockOf(model, host);
                trace(model,
                      host.info.id + " reads record " + std::to_string(read->index) + " generation "
                              + std::to_string(read->record ? read->record->leaderTerm.generation
                                                            : 0));
                if (read->index != 0
                    && !mayReplaceRecord(host.region, host.lastContacts, read->index, now))
                    return;
                const auto next = makeRecoveryRecord(state, {});
                auto written = std::make_shared<bool>(false);
                callStore(
                        model, index,
                        [&model, read, next, written] {
                            *written = writeIfUnchanged(model, model.recordKey, read->index,
                                                        {0, next, std::nullopt});
                        },
                        [&model, index, next, written](bool known) {
                            if (!known || !*written)
                                return;
                            adoptNewerRecord(model.hosts[index].region.leadership, next);
                            startCandidacy(model, index, next.leaderTerm.generation);
                        });
            });
}

auto runElection(model_region &model, std::size_t index) -> void
{
    auto &host = model.hosts[index];
    const auto now = clockOf(model, host);
    switch (chooseCandidacy(host.region, host.nextRecovery, now)) {
    case candidacy::None:
        return;
    case candidacy::ByBallot:
        startCandidacy(model, index, std::nullopt);
        return;
    case candidacy::ByStore:
        host.nextRecovery = now + recoveryDelay(host.region);
        startCandidacyByStore(model, index);
        return;
    }
}

// --- the leader ----------------------------------------------------------------------

auto readStoredTable(model_region &model, std::size_t index, term expectedTerm) -> void
{
    auto &host = model.hosts[index];
    host.tableCallPending = true;
    auto read = std::make_shared<stored_value>();
    callStore(
            model, index, [&model, read] { *read = model.tableKey; },
            [&model, index, expectedTerm, read](bool answered) {
                auto &leader = model.hosts[index];
                leader.tableCallPending = false;
                if (!answered || !leadsInTerm(leader, expectedTerm))
                    return;
                leader.tableIndex = read->index;
                if (!read->table)
                    return;
                observeTerm(leader.region.leadership, read->table->leaderTerm);
                const auto changesFrozen =
                        clockOf(model, leader) < leader.region.leadership.changesFrozenUntil;
                if (read->table->leaderTerm < expectedTerm && changesFrozen) {
                    const auto version = leader.region.planner.table.version;
                    mergeNewer(leader.region.planner.table, *read->table);
                    leader.region.planner.table.version = version;
                }
            });
}

auto writeTable(model_region &model, std::size_t index, term expectedTerm,
                const assignment_table &next) -> void
{
    auto &host = model.hosts[index];
    if (!host.tableIndex) {
        host.region.published = next;
        trace(model, host.info.id + " publishes without the store " + describe(next));
        return;
    }
    host.tableCallPending = true;
    const auto expected = *host.tableIndex;
    auto written = std::make_shared<bool>(false);
    callStore(
            model, index,
            [&model, expected, next, written] {
                *written =
                        writeIfUnchanged(model, model.tableKey, expected, {0, std::nullopt, next});
            },
            [&model, index, expectedTerm, next, written](bool answered) {
                auto &leader = model.hosts[index];
                leader.tableCallPending = false;
                leader.tableIndex.reset();
                if (!leadsInTerm(leader, expectedTerm) || (answered && !*written))
                    return;
                leader.region.published = next;
                trace(model, leader.info.id + " publishes " + describe(next));
            });
}

auto hostStatuses(const model_region &model, const model_host &leader) -> std::vector<host_status>
{
    std::vector<host_status> hosts;
    const auto now = clockOf(model, leader);
    for (const auto &[id, view] : leader.region.planner.hosts) {
        const auto &info = model.hosts[indexOf(model, id)].info;
        const auto member = isMember(leader.region.leadership.record, id, view.start);
        const auto alive =
                isAlive(leader.region.planner, id, now) || (member && now < view.lastSeen + 3s);
        hosts.push_back({{id, view.start, info.domain}, alive, false});
    }
    return hosts;
}

auto handleRecordWritten(model_region &model, std::size_t index, term expectedTerm,
                         const member_record &next, bool success) -> void
{
    auto &leader = model.hosts[index];
    leader.recordCallPending = false;
    leader.recordIndex.reset();
    if (!success || !leadsInTerm(leader, expectedTerm))
        return;
    leader.region.leadership.record = next;
    leader.region.leadership.pendingRecord.reset();
}

auto readRecord(model_region &model, std::size_t index, term expectedTerm) -> void
{
    auto &host = model.hosts[index];
    host.recordCallPending = true;
    auto read = std::make_shared<stored_value>();
    callStore(
            model, index, [&model, read] { *read = model.recordKey; },
            [&model, index, expectedTerm, read](bool answered) {
                auto &leader = model.hosts[index];
                leader.recordCallPending = false;
                if (!answered || !leadsInTerm(leader, expectedTerm) || !read->record)
                    return;
                auto &state = leader.region.leadership;
                leader.recordIndex = read->index;
                observeTerm(state, read->record->leaderTerm);
                if (read->record->version > state.record.version)
                    state.record = *read->record;
                if (state.pendingRecord && read->record->version >= state.pendingRecord->version)
                    state.pendingRecord.reset();
            });
}

auto updateRecord(model_region &model, std::size_t index) -> void
{
    auto &host = model.hosts[index];
    auto &state = host.region.leadership;
    if (host.recordCallPending)
        return;
    if (!host.recordIndex) {
        readRecord(model, index, state.highestTerm);
        return;
    }
    if (!state.pendingRecord)
        state.pendingRecord = proposeRecord(state, hostStatuses(model, host));
    if (!state.pendingRecord)
        return;
    host.recordCallPending = true;
    const auto next = *state.pendingRecord;
    const auto expected = *host.recordIndex;
    const auto expectedTerm = state.highestTerm;
    auto written = std::make_shared<bool>(false);
    callStore(
            model, index,
            [&model, expected, next, written] {
                *written =
                        writeIfUnchanged(model, model.recordKey, expected, {0, next, std::nullopt});
            },
            [&model, index, expectedTerm, next, written](bool answered) {
                handleRecordWritten(model, index, expectedTerm, next, answered && *written);
            });
}

auto runLeader(model_region &model, std::size_t index) -> void
{
    auto &host = model.hosts[index];
    auto &region = host.region;
    const auto now = clockOf(model, host);
    if (region.leadership.role != leadership_role::Leader)
        return;
    if (beginLeading(region, now)) {
        trace(model,
              host.info.id + " leads " + toString(region.leadership.highestTerm)
                      + ", changes frozen for "
                      + std::to_string((region.leadership.changesFrozenUntil - now).count()));
        host.tableIndex.reset();
        host.recordIndex.reset();
        host.tableCallPending = false;
        host.recordCallPending = false;
        host.tableRead = false;
        breakElectionRules(model, host, now);
    }
    if (!checkLeadership(region, now)) {
        trace(model, host.info.id + " is not licensed");
        return;
    }
    if (model.options.trace) {
        auto text = host.info.id + " licensed by";
        for (const auto &member : region.leadership.record.members) {
            const auto found = region.leadership.confirmations.find(member.host);
            const auto known = found != region.leadership.confirmations.end();
            text += " " + member.host + "="
                    + (known ? std::to_string((now - found->second).count()) : "none");
        }
        trace(model, text);
    }
    std::vector<server_info> servers;
    for (const auto &server : model.servers)
        servers.push_back(server.info);
    updateHostsAndServers(region.planner, {}, servers);
    planTable(region.planner, model.config, region.leadership.changesFrozenUntil, now);
    if (!host.tableCallPending && !host.tableIndex && !model.storeDown)
        readStoredTable(model, index, region.leadership.highestTerm);
    if (!host.tableCallPending) {
        const auto next = nextTableToPublish(region.planner, region.published);
        if (next)
            writeTable(model, index, region.leadership.highestTerm, *next);
    }
    updateRecord(model, index);
}

// --- grants --------------------------------------------------------------------------

auto serverHolds(const model_region &model, const model_server &server, shard_index shard) -> bool
{
    return server.shards.contains(shard) && readClock(server.clock, model.now) < server.until;
}

auto checkHolding(model_region &model, const model_server &server, shard_index shard,
                  epoch grantEpoch) -> void
{
    ++model.result.grants;
    trace(model,
          server.info.id + " holds " + std::to_string(shard) + " " + toString(grantEpoch)
                  + " until "
                  + std::to_string((server.until - readClock(server.clock, model.now)).count()));
    for (const auto &other : model.servers) {
        if (other.info.id != server.info.id && serverHolds(model, other, shard))
            reportBreach(model,
                         "shard " + std::to_string(shard) + " held by " + other.info.id + " and "
                                 + server.info.id);
    }
    if (grantEpoch < model.highestEpochs[shard])
        reportBreach(model, "the epoch of shard " + std::to_string(shard) + " decreased");
    model.highestEpochs[shard] = std::max(model.highestEpochs[shard], grantEpoch);
    if (!model.lastOwner[shard].empty() && model.lastOwner[shard] != server.info.id)
        ++model.result.ownerChanges;
    model.lastOwner[shard] = server.info.id;
}

struct model_grant
{
    epoch groupEpoch;
    std::optional<std::int64_t> until;
    // The time until the end of the grant, for GrantFromArrival only.
    duration remaining{};
    std::uint64_t sequence = 0;
    start_number serverStart = 0;
    std::vector<shard_epoch> shards;
    std::vector<shard_id> droppedShards;
};

auto handleGrant(model_region &model, model_server &server, const model_grant &grant) -> bool
{
    if (!grant.until || grant.groupEpoch < server.groupEpoch || grant.serverStart != server.start)
        return false;
    if (grant.groupEpoch == server.groupEpoch && grant.sequence <= server.sequence)
        return false;
    const auto now = readClock(server.clock, model.now);
    auto until = fromMicroseconds(*grant.until);
    if (model.options.broken == broken_rule::GrantFromArrival)
        until = now + grant.remaining;
    if (until <= now)
        return false;
    if (now >= server.until)
        server.shards.clear();
    server.groupEpoch = grant.groupEpoch;
    server.sequence = grant.sequence;
    server.until = std::max(server.until, until);
    server.shards.clear();
    for (const auto &release : grant.shards) {
        server.shards[release.shard.index] = release.grantEpoch;
        checkHolding(model, server, release.shard.index, release.grantEpoch);
    }
    return true;
}

auto handleGrantAnswer(model_region &model, std::size_t index, const model_server &server,
                       std::int64_t serverClock, bool accepted, const model_grant &grant) -> void
{
    auto &host = model.hosts[index];
    auto &state = host.grants[server.info.id];
    recordGrantAnswer(state, serverClock, server.start, clockOf(model, host));
    if (!state.lost)
        host.lostServers.erase(server.info.id);
    if (!accepted)
        return;
    for (const auto &shard : grant.droppedShards)
        releaseShard(host.holdings, shard);
}

auto runAtServer(model_region &model, std::size_t number, const std::function<void()> &work) -> void
{
    const auto frozen = model.servers[number].frozenUntil;
    if (model.now >= frozen) {
        work();
        return;
    }
    schedule(model, frozen - model.now,
             [&model, number, work] { runAtServer(model, number, work); });
}

auto sendGrant(model_region &model, std::size_t index, std::size_t number, const model_grant &grant)
        -> void
{
    const auto incarnation = model.hosts[index].incarnation;
    auto answered = std::make_shared<bool>(false);
    for (const auto delay : drawDeliveries(model)) {
        schedule(model, delay, [&model, index, number, incarnation, grant, answered] {
            if (isCut(model, model.hosts[index].info.id))
                return;
            runAtServer(model, number, [&model, index, number, incarnation, grant, answered] {
                auto &server = model.servers[number];
                const auto accepted = handleGrant(model, server, grant);
                const auto clock = toMicroseconds(readClock(server.clock, model.now));
                const auto replyDelays = drawDeliveries(model);
                if (replyDelays.empty() || *answered)
                    return;
                schedule(model, replyDelays.front(),
                         [&model, index, number, incarnation, clock, accepted, grant, answered] {
                             if (*answered)
                                 return;
                             *answered = true;
                             runAtHost(model, index, incarnation,
                                       [&model, index, number, clock, accepted, grant] {
                                           handleGrantAnswer(model, index, model.servers[number],
                                                             clock, accepted, grant);
                                       });
                         });
            });
        });
    }
    schedule(model, callTimeout, [&model, index, number, incarnation, answered] {
        if (*answered)
            return;
        *answered = true;
        runAtHost(model, index, incarnation, [&model, index, number] {
            recordGrantFailure(model.hosts[index].grants[model.servers[number].info.id]);
        });
    });
}

auto grantServer(model_region &model, std::size_t index, std::size_t number) -> void
{
    auto &host = model.hosts[index];
    const auto &server = model.servers[number].info;
    const auto now = clockOf(model, host);
    auto &state = host.grants[server.id];
    const auto groupEpoch = host.holdings.table.groups[groupOf(server)].grantEpoch;
    if (state.groupEpoch != groupEpoch) {
        beginGroupEpoch(state, groupEpoch, host.holdings.limits, now);
        host.lostServers.erase(server.id);
    }
    if (grantsHaveEnded(state, now)) {
        releaseServer(host.holdings, server.id);
        host.lostServers.insert(server.id);
    }
    model_grant grant;
    grant.groupEpoch = host.holdings.table.groups[groupOf(server)].grantEpoch;
    grant.until = beginNextGrant(state, host.holdings.leaseEnds, host.holdings.limits);
    grant.remaining = host.holdings.leaseEnds - now;
    grant.serverStart = state.start;
    grant.sequence = state.sequence;
    for (const auto &release : shardsToGrant(host.holdings, server.id, now)) {
        if (isReleasingShard(host.holdings, release.shard, now))
            grant.droppedShards.push_back(release.shard);
        else
            grant.shards.push_back(release);
    }
    if (!grant.until)
        grant.droppedShards.clear();
    sendGrant(model, index, number, grant);
}

auto grantAll(model_region &model, std::size_t index) -> void
{
    auto &host = model.hosts[index];
    const auto now = clockOf(model, host);
    releaseIfLeaseEnded(host.holdings, now);
    breakLeaseRules(model, host);
    for (std::size_t number = 0; number < model.servers.size(); ++number) {
        const auto group = groupOf(model.servers[number].info);
        if (isReleasingGroup(host.holdings, group, now)) {
            releaseGroup(host.holdings, group);
            continue;
        }
        if (mayUseGroup(host.holdings, group, now))
            grantServer(model, index, number);
    }
}

// --- faults and checks ---------------------------------------------------------------

auto restart(model_region &model, std::size_t index) -> void
{
    auto &host = model.hosts[index];
    trace(model, host.info.id + " restarts");
    auto restarted = model_host{};
    restarted.info = host.info;
    restarted.clock = host.clock;
    restarted.incarnation = host.incarnation + 1;
    const auto keepsStart = model.options.broken == broken_rule::ConsentForgotten;
    restarted.start = keepsStart ? host.start : host.start + 1;
    const auto now = readClock(restarted.clock, model.now);
    restarted.region =
            newRegion({}, asMember(restarted), {{"orders", true, shardCount, true}}, now);
    if (keepsStart) {
        restarted.region.leadership.started = now - 60min;
        restarted.region.leadership.record = host.region.leadership.record;
    }
    restarted.holdings = newHoldings({}, restarted.info.id);
    host = std::move(restarted);
    for (std::size_t other = 0; other < hostCount; ++other) {
        if (other != index)
            host.lastContacts[model.hosts[other].info.id] = now;
    }
}

auto injectFault(model_region &model) -> void
{
    if (!inFaultPhase(model))
        return;
    const auto index = draw(model, hostCount);
    auto &host = model.hosts[index];
    switch (draw(model, 9)) {
    case 0:
        host.pausedUntil = model.now + drawLength(model, 4s);
        trace(model, host.info.id + " paused until " + std::to_string(host.pausedUntil.count()));
        break;
    case 1:
        restart(model, index);
        break;
    case 2:
        model.cutUntil[host.info.id] = model.now + drawLength(model, 4s);
        trace(model,
              host.info.id + " cut until " + std::to_string(model.cutUntil[host.info.id].count()));
        break;
    case 3:
        model.storeDown = true;
        model.storeDownUntil = model.now + drawLength(model, 5s);
        trace(model, "store down until " + std::to_string(model.storeDownUntil.count()));
        break;
    case 4:
        model.servers[draw(model, serverCount)].frozenUntil = model.now + drawLength(model, 4s);
        break;
    case 5: {
        // Two hosts are cut off for the same time.
        const auto until = model.now + drawLength(model, 4s);
        model.cutUntil[host.info.id] = until;
        model.cutUntil[model.hosts[(index + 1) % hostCount].info.id] = until;
        break;
    }
    case 6: {
        auto &server = model.servers[draw(model, serverCount)];
        server.shards.clear();
        server.until = instant{};
        ++server.start;
        break;
    }
    default:
        break;
    }
}

auto endFaults(model_region &model) -> void
{
    if (model.now >= model.storeDownUntil)
        model.storeDown = false;
    if (inFaultPhase(model))
        return;
    model.storeDown = false;
    model.cutUntil.clear();
    for (auto &host : model.hosts)
        host.pausedUntil = std::min(host.pausedUntil, model.now);
    for (auto &server : model.servers)
        server.frozenUntil = std::min(server.frozenUntil, model.now);
}

// Checks that at most one host may send to a group, and so for a shard, at any time.
auto checkSenders(model_region &model) -> void
{
    std::map<group_id, host_id> senders;
    for (auto &host : model.hosts) {
        if (isPaused(model, host))
            continue;
        const auto now = clockOf(model, host);
        releaseIfLeaseEnded(host.holdings, now);
        breakLeaseRules(model, host);
        for (const auto &server : model.servers) {
            const auto group = groupOf(server.info);
            if (!mayUseGroup(host.holdings, group, now))
                continue;
            const auto [known, added] = senders.try_emplace(group, host.info.id);
            if (!added)
                reportBreach(model,
                             "group of " + server.info.id + " used by " + known->second + " and "
                                     + host.info.id);
        }
    }
}

auto runPeriodically(model_region &model, duration period, const std::function<void()> &work)
        -> void
{
    schedule(model, period, [&model, period, work] {
        work();
        runPeriodically(model, period, work);
    });
}

auto runPeriodicallyAtHost(model_region &model, std::size_t index, duration period,
                           void (*work)(model_region &, std::size_t)) -> void
{
    const auto phase = drawLength(model, period);
    schedule(model, phase, [&model, index, period, work] {
        runPeriodically(model, period, [&model, index, work] {
            if (!isPaused(model, model.hosts[index]))
                work(model, index);
        });
    });
}

auto addHosts(model_region &model) -> void
{
    const std::array<domain_id, 3> domains{"a", "b", "c"};
    for (std::size_t index = 0; index < hostCount; ++index) {
        model_host host;
        host.info = {"host-" + std::to_string(index), domains[index % domains.size()], "",
                     "peer-" + std::to_string(index)};
        host.clock = {draw(model, 1'000'000'000), static_cast<int>(draw(model, 1001)) - 500};
        host.start = index * 1000 + 1;
        const auto now = readClock(host.clock, model.now);
        host.region = newRegion({}, asMember(host), {{"orders", true, shardCount, true}}, now);
        host.holdings = newHoldings({}, host.info.id);
        model.hosts.push_back(std::move(host));
    }
    for (std::size_t index = 0; index < serverCount; ++index) {
        model_server server;
        server.info = {"server-" + std::to_string(index), "orders", domains[index], "", 3, false};
        server.clock = {draw(model, 1'000'000'000), static_cast<int>(draw(model, 1001)) - 500};
        model.servers.push_back(std::move(server));
    }
}

auto countUnserved(const model_region &model) -> std::uint32_t
{
    std::uint32_t unserved = 0;
    for (shard_index shard = 0; shard < shardCount; ++shard) {
        auto held = false;
        for (const auto &server : model.servers)
            held = held || serverHolds(model, server, shard);
        unserved += held ? 0 : 1;
    }
    return unserved;
}

} // namespace

auto runRegion(const run_options &options) -> run_result
{
    model_region model;
    model.options = options;
    model.random.seed(options.seed);
    model.lastOwner.resize(shardCount);
    model.highestEpochs.resize(shardCount);
    addHosts(model);
    for (std::size_t index = 0; index < hostCount; ++index) {
        runPeriodicallyAtHost(model, index, exchangePeriod, runExchange);
        runPeriodicallyAtHost(model, index, exchangePeriod, grantAll);
        runPeriodicallyAtHost(model, index, stepPeriod, runElection);
        runPeriodicallyAtHost(model, index, stepPeriod, runLeader);
    }
    runPeriodically(model, faultPeriod, [&model] { injectFault(model); });
    runPeriodically(model, checkPeriod, [&model] {
        endFaults(model);
        checkSenders(model);
    });
    const auto end = options.withFaults + options.withoutFaults;
    while (model.now < end && model.result.breach.empty()) {
        auto next = model.events.top();
        model.events.pop();
        model.now = next.time;
        next.run();
    }
    model.result.unserved = countUnserved(model);
    return model.result;
}

} // namespace parsleyloft::model
