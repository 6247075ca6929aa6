// A region of hosts, servers and a key-value service under a clock moved by hand.
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

using real_time = duration;

// A clock with its own zero and rate.
struct model_clock
{
    std::int64_t offsetUs = 0;
    std::int64_t driftPpm = 0;
};

auto readClock(const model_clock &clock, real_time now) -> instant
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
    std::map<host_id, instant> heard;
    instant nextRecovery{};
    bool writing = false;
    bool recordWriting = false;
    std::optional<std::uint64_t> tableIndex;
    std::optional<std::uint64_t> recordIndex;
    bool tableRead = false;
    real_time pausedUntil{};
    // Messages of a former process are not delivered to the next one.
    std::uint64_t life = 0;
    std::size_t nextPeer = 0;
};

struct model_server
{
    server_info info;
    model_clock clock;
    start_number start = 1;
    real_time frozenUntil{};
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

struct planned_event
{
    real_time at{};
    std::uint64_t order = 0;
    std::function<void()> run;
};

struct later_first
{
    auto operator()(const planned_event &left, const planned_event &right) const -> bool
    {
        return std::tie(left.at, left.order) > std::tie(right.at, right.order);
    }
};

struct model_region
{
    run_options options;
    run_result result;
    pcg32 random;
    real_time now{};
    std::uint64_t nextOrder = 0;
    std::priority_queue<planned_event, std::vector<planned_event>, later_first> events;
    std::vector<model_host> hosts;
    std::vector<model_server> servers;
    stored_value recordKey;
    stored_value tableKey;
    std::uint64_t nextIndex = 1;
    bool storeDown = false;
    real_time storeDownUntil{};
    // Hosts that are cut off from all others and the store until then.
    std::map<host_id, real_time> cutUntil;
    configuration wanted;
    std::vector<server_id> lastOwner;
    std::vector<epoch> highestHeld;
};

auto draw(model_region &model, std::uint32_t below) -> std::uint32_t
{
    return model.random(below);
}

auto drawLength(model_region &model, duration most) -> duration
{
    return duration(draw(model, static_cast<std::uint32_t>(most.count())));
}

auto isFaulty(const model_region &model) -> bool
{
    return model.now < model.options.faulty;
}

auto plan(model_region &model, duration delay, std::function<void()> run) -> void
{
    model.events.push({model.now + delay, model.nextOrder++, std::move(run)});
}

auto tell(const model_region &model, const std::string &what) -> void
{
    if (model.options.trace)
        std::cout << model.now.count() << " " << what << "\n";
}

auto describe(const assignment_table &table) -> std::string
{
    auto text = toString(table.leaderTerm) + "/" + std::to_string(table.version);
    for (const auto &[id, group] : table.groups)
        text += " " + id.domain + "=" + group.holder + "@" + toString(group.given) + "("
                + std::string(nameIn(assignmentPhaseNames, group.phase)) + ")";
    for (const auto &[service, shards] : table.shards) {
        for (const auto &shard : shards)
            text += " " + shard.owner + "@" + toString(shard.given) + "("
                    + std::string(nameIn(assignmentPhaseNames, shard.phase)) + ")";
    }
    return text;
}

auto noteBreach(model_region &model, const std::string &what) -> void
{
    tell(model, "BREACH " + what);
    if (model.result.breach.empty())
        model.result.breach = "at " + std::to_string(model.now.count()) + " us: " + what;
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

// Runs work at a host, after its pause, unless it was restarted since.
auto atHost(model_region &model, std::size_t index, std::uint64_t life,
            const std::function<void()> &work) -> void
{
    auto &host = model.hosts[index];
    if (host.life != life)
        return;
    if (!isPaused(model, host)) {
        work();
        return;
    }
    plan(model, host.pausedUntil - model.now,
         [&model, index, life, work] { atHost(model, index, life, work); });
}

// Delays of a message: none when it is dropped, two when it is doubled.
auto drawDeliveries(model_region &model) -> std::vector<duration>
{
    if (!isFaulty(model))
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
        const auto life = model.hosts[to].life;
        plan(model, delay, [&model, from, to, life, work] {
            const auto cut = isCut(model, model.hosts[from].info.id)
                    || isCut(model, model.hosts[to].info.id);
            if (from == to || !cut)
                atHost(model, to, life, work);
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

auto tamperWithLease(const model_region &model, model_host &host) -> void
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

auto takeReply(model_region &model, std::size_t index, const exchange_reply &reply, instant sentAt)
        -> void
{
    auto &host = model.hosts[index];
    const auto now = clockOf(model, host);
    host.heard[reply.from] = now;
    if (takeAnswer(host.region, reply, now) && takeWord(host.holdings, reply, sentAt, now))
        tell(model, host.info.id + " takes " + describe(host.holdings.table));
    tamperWithLease(model, host);
}

auto exchange(model_region &model, std::size_t index) -> void
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
    const auto life = host.life;
    sendToHost(model, index, to, [&model, index, to, request, sentAt, life] {
        auto &peer = model.hosts[to];
        const auto reply = answerExchange(peer.region, request, clockOf(model, peer));
        sendToHost(model, to, index, [&model, index, reply, sentAt, life] {
            const auto &asking = model.hosts[index];
            if (asking.life == life && clockOf(model, asking) < sentAt + callTimeout)
                takeReply(model, index, reply, sentAt);
        });
    });
}

// --- the key-value service -----------------------------------------------------------

// Calls it from a host. The answer may be lost after the call took effect.
auto callStore(model_region &model, std::size_t index, std::function<void()> effect,
               std::function<void(bool)> answer) -> void
{
    const auto life = model.hosts[index].life;
    const auto faulty = isFaulty(model);
    const auto way = faulty ? drawLength(model, 30ms) : duration(500);
    const auto lostOnWay = model.storeDown || isCut(model, model.hosts[index].info.id)
            || (faulty && draw(model, 50) == 0);
    const auto lostAnswer = faulty && draw(model, 15) == 0;
    auto answered = std::make_shared<bool>(false);
    if (!lostOnWay) {
        const auto late = faulty && draw(model, 30) == 0 ? drawLength(model, 2s) : duration(0);
        plan(model, way + late, [&model, index, life, effect, answer, answered, lostAnswer] {
            effect();
            if (lostAnswer || *answered)
                return;
            *answered = true;
            atHost(model, index, life, [answer] { answer(true); });
        });
    }
    plan(model, callTimeout, [&model, index, life, answer, answered] {
        if (*answered)
            return;
        *answered = true;
        atHost(model, index, life, [answer] { answer(false); });
    });
}

auto writeIf(model_region &model, stored_value &key, std::uint64_t index, stored_value next) -> bool
{
    if (key.index != index)
        return false;
    next.index = model.nextIndex++;
    key = std::move(next);
    return true;
}

auto leadsIn(const model_host &host, term in) -> bool
{
    return host.region.leadership.role == leadership_role::Leader
            && host.region.leadership.highest == in;
}

// --- elections -----------------------------------------------------------------------

auto tamperWithElection(const model_region &model, model_host &host, instant now) -> void
{
    auto &state = host.region.leadership;
    if (model.options.broken == broken_rule::NoConsent
        && state.role == leadership_role::Candidate) {
        for (const auto &one : state.record.members)
            countConsent(state, {one.host, one.start, true, state.highest, state.record}, now);
    }
    if (model.options.broken == broken_rule::NoWaitBeforeChange)
        state.quietUntil = instant{};
    if (model.options.broken == broken_rule::NoPromiseCheck)
        state.promisedUntil = instant{};
}

auto countElection(model_region &model, bool elected) -> void
{
    if (elected)
        ++model.result.elections;
}

auto askConsent(model_region &model, std::size_t index, const consent_request &request) -> void
{
    for (const auto &one : request.record.members) {
        const auto to = indexOf(model, one.host);
        if (to == index)
            continue;
        sendToHost(model, index, to, [&model, index, to, request] {
            auto &peer = model.hosts[to];
            tamperWithElection(model, peer, clockOf(model, peer));
            const auto reply = answerConsent(peer.region.leadership, request, clockOf(model, peer));
            tell(model,
                 peer.info.id + (reply.granted ? " consents to " : " refuses ") + request.candidate
                         + " " + toString(request.asked) + " record "
                         + std::to_string(request.record.version) + ", own highest "
                         + toString(reply.highest) + " record "
                         + std::to_string(reply.record.version) + " of "
                         + std::to_string(reply.record.members.size()));
            if (reply.granted) {
                peer.region.returned.reset();
                peer.region.leaderHint = request.candidate;
            }
            sendToHost(model, to, index, [&model, index, reply] {
                auto &host = model.hosts[index];
                const auto now = clockOf(model, host);
                countElection(model, countConsent(host.region.leadership, reply, now));
            });
        });
    }
}

auto stand(model_region &model, std::size_t index, std::optional<std::uint32_t> generation) -> void
{
    auto &host = model.hosts[index];
    auto &state = host.region.leadership;
    const auto now = clockOf(model, host);
    tamperWithElection(model, host, now);
    const auto request = standAsCandidate(state, now, generation);
    if (!request)
        return;
    tell(model, host.info.id + " stands for " + toString(request->asked));
    const consent_reply own{state.self, state.start, true, state.highest, state.record};
    countElection(model, countConsent(state, own, now));
    tamperWithElection(model, host, now);
    askConsent(model, index, *request);
}

auto standByStore(model_region &model, std::size_t index) -> void
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
                    learnRecord(state, *read->record);
                state.recordRead = true;
                const auto now = clockOf(model, host);
                tell(model,
                     host.info.id + " reads record " + std::to_string(read->index) + " generation "
                             + std::to_string(read->record ? read->record->leaderTerm.generation
                                                           : 0));
                if (read->index != 0 && !maySupplant(host.region, host.heard, read->index, now))
                    return;
                const auto next = recoveryRecord(state, {});
                auto written = std::make_shared<bool>(false);
                callStore(
                        model, index,
                        [&model, read, next, written] {
                            *written = writeIf(model, model.recordKey, read->index,
                                               {0, next, std::nullopt});
                        },
                        [&model, index, next, written](bool known) {
                            if (!known || !*written)
                                return;
                            learnRecord(model.hosts[index].region.leadership, next);
                            stand(model, index, next.leaderTerm.generation);
                        });
            });
}

auto elect(model_region &model, std::size_t index) -> void
{
    auto &host = model.hosts[index];
    const auto now = clockOf(model, host);
    switch (chooseCandidacy(host.region, host.nextRecovery, now)) {
    case candidacy::None:
        return;
    case candidacy::ByBallot:
        stand(model, index, std::nullopt);
        return;
    case candidacy::ByStore:
        host.nextRecovery = now + recoveryPause(host.region);
        standByStore(model, index);
        return;
    }
}

// --- the leader's work ---------------------------------------------------------------

auto readStoredTable(model_region &model, std::size_t index, term in) -> void
{
    auto &host = model.hosts[index];
    host.writing = true;
    auto read = std::make_shared<stored_value>();
    callStore(
            model, index, [&model, read] { *read = model.tableKey; },
            [&model, index, in, read](bool answered) {
                auto &leader = model.hosts[index];
                leader.writing = false;
                if (!answered || !leadsIn(leader, in))
                    return;
                leader.tableIndex = read->index;
                if (!read->table)
                    return;
                meetTerm(leader.region.leadership, read->table->leaderTerm);
                const auto quiet = clockOf(model, leader) < leader.region.leadership.quietUntil;
                if (read->table->leaderTerm < in && quiet) {
                    const auto version = leader.region.planner.table.version;
                    mergeNewer(leader.region.planner.table, *read->table);
                    leader.region.planner.table.version = version;
                }
            });
}

auto writeTable(model_region &model, std::size_t index, term in, const assignment_table &next)
        -> void
{
    auto &host = model.hosts[index];
    if (!host.tableIndex) {
        host.region.given = next;
        tell(model, host.info.id + " gives unwritten " + describe(next));
        return;
    }
    host.writing = true;
    const auto expected = *host.tableIndex;
    auto written = std::make_shared<bool>(false);
    callStore(
            model, index,
            [&model, expected, next, written] {
                *written = writeIf(model, model.tableKey, expected, {0, std::nullopt, next});
            },
            [&model, index, in, next, written](bool answered) {
                auto &leader = model.hosts[index];
                leader.writing = false;
                leader.tableIndex.reset();
                if (!leadsIn(leader, in) || (answered && !*written))
                    return;
                leader.region.given = next;
                tell(model, leader.info.id + " gives " + describe(next));
            });
}

auto liveHosts(const model_region &model, const model_host &leader) -> std::vector<live_host>
{
    std::vector<live_host> hosts;
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

auto finishRecord(model_region &model, std::size_t index, term in, const member_record &next,
                  bool success) -> void
{
    auto &leader = model.hosts[index];
    leader.recordWriting = false;
    leader.recordIndex.reset();
    if (!success || !leadsIn(leader, in))
        return;
    leader.region.leadership.record = next;
    leader.region.leadership.pendingRecord.reset();
}

auto readRecord(model_region &model, std::size_t index, term in) -> void
{
    auto &host = model.hosts[index];
    host.recordWriting = true;
    auto read = std::make_shared<stored_value>();
    callStore(
            model, index, [&model, read] { *read = model.recordKey; },
            [&model, index, in, read](bool answered) {
                auto &leader = model.hosts[index];
                leader.recordWriting = false;
                if (!answered || !leadsIn(leader, in) || !read->record)
                    return;
                auto &state = leader.region.leadership;
                leader.recordIndex = read->index;
                meetTerm(state, read->record->leaderTerm);
                if (read->record->version > state.record.version)
                    state.record = *read->record;
                if (state.pendingRecord && read->record->version >= state.pendingRecord->version)
                    state.pendingRecord.reset();
            });
}

auto keepMembers(model_region &model, std::size_t index) -> void
{
    auto &host = model.hosts[index];
    auto &state = host.region.leadership;
    if (host.recordWriting)
        return;
    if (!host.recordIndex) {
        readRecord(model, index, state.highest);
        return;
    }
    if (!state.pendingRecord)
        state.pendingRecord = proposeRecord(state, liveHosts(model, host));
    if (!state.pendingRecord)
        return;
    host.recordWriting = true;
    const auto next = *state.pendingRecord;
    const auto expected = *host.recordIndex;
    const auto in = state.highest;
    auto written = std::make_shared<bool>(false);
    callStore(
            model, index,
            [&model, expected, next, written] {
                *written = writeIf(model, model.recordKey, expected, {0, next, std::nullopt});
            },
            [&model, index, in, next, written](bool answered) {
                finishRecord(model, index, in, next, answered && *written);
            });
}

auto lead(model_region &model, std::size_t index) -> void
{
    auto &host = model.hosts[index];
    auto &region = host.region;
    const auto now = clockOf(model, host);
    if (region.leadership.role != leadership_role::Leader)
        return;
    if (beginLeading(region, now)) {
        tell(model,
             host.info.id + " leads " + toString(region.leadership.highest) + ", quiet for "
                     + std::to_string((region.leadership.quietUntil - now).count()));
        host.tableIndex.reset();
        host.recordIndex.reset();
        host.writing = false;
        host.recordWriting = false;
        host.tableRead = false;
        tamperWithElection(model, host, now);
    }
    if (!keepLeading(region, now)) {
        tell(model, host.info.id + " is not licensed");
        return;
    }
    if (model.options.trace) {
        auto text = host.info.id + " licensed by";
        for (const auto &one : region.leadership.record.members) {
            const auto found = region.leadership.confirmations.find(one.host);
            const auto known = found != region.leadership.confirmations.end();
            text += " " + one.host + "="
                    + (known ? std::to_string((now - found->second).count()) : "none");
        }
        tell(model, text);
    }
    std::vector<server_info> servers;
    for (const auto &server : model.servers)
        servers.push_back(server.info);
    takeHostList(region.planner, {}, servers);
    planTable(region.planner, model.wanted, region.leadership.quietUntil, now);
    if (!host.writing && !host.tableIndex && !model.storeDown)
        readStoredTable(model, index, region.leadership.highest);
    if (!host.writing) {
        const auto next = nextToGiveOut(region.planner, region.given);
        if (next)
            writeTable(model, index, region.leadership.highest, *next);
    }
    keepMembers(model, index);
}

// --- grants --------------------------------------------------------------------------

auto serverHolds(const model_region &model, const model_server &server, shard_index shard) -> bool
{
    return server.shards.contains(shard) && readClock(server.clock, model.now) < server.until;
}

auto noteHeld(model_region &model, const model_server &server, shard_index shard, epoch given)
        -> void
{
    ++model.result.grants;
    tell(model,
         server.info.id + " holds " + std::to_string(shard) + " " + toString(given) + " until "
                 + std::to_string((server.until - readClock(server.clock, model.now)).count()));
    for (const auto &other : model.servers) {
        if (other.info.id != server.info.id && serverHolds(model, other, shard))
            noteBreach(model,
                       "shard " + std::to_string(shard) + " held by " + other.info.id + " and "
                               + server.info.id);
    }
    if (given < model.highestHeld[shard])
        noteBreach(model, "the epoch of shard " + std::to_string(shard) + " went back");
    model.highestHeld[shard] = std::max(model.highestHeld[shard], given);
    if (!model.lastOwner[shard].empty() && model.lastOwner[shard] != server.info.id)
        ++model.result.ownerChanges;
    model.lastOwner[shard] = server.info.id;
}

struct model_grant
{
    epoch groupEpoch;
    std::optional<std::int64_t> until;
    // The end as a length from now on, for the broken variant only.
    duration left{};
    std::uint64_t sequence = 0;
    start_number serverStart = 0;
    std::vector<shard_release> shards;
    std::vector<shard_id> dropped;
};

auto takeGrant(model_region &model, model_server &server, const model_grant &grant) -> bool
{
    if (!grant.until || grant.groupEpoch < server.groupEpoch || grant.serverStart != server.start)
        return false;
    if (grant.groupEpoch == server.groupEpoch && grant.sequence <= server.sequence)
        return false;
    const auto now = readClock(server.clock, model.now);
    auto until = fromMicroseconds(*grant.until);
    if (model.options.broken == broken_rule::GrantFromArrival)
        until = now + grant.left;
    if (until <= now)
        return false;
    if (now >= server.until)
        server.shards.clear();
    server.groupEpoch = grant.groupEpoch;
    server.sequence = grant.sequence;
    server.until = std::max(server.until, until);
    server.shards.clear();
    for (const auto &release : grant.shards) {
        server.shards[release.shard.index] = release.given;
        noteHeld(model, server, release.shard.index, release.given);
    }
    return true;
}

auto takeGrantAnswer(model_region &model, std::size_t index, const model_server &server,
                     std::int64_t serverClock, bool accepted, const model_grant &grant) -> void
{
    auto &host = model.hosts[index];
    auto &state = host.grants[server.info.id];
    noteGrantAnswer(state, serverClock, server.start, clockOf(model, host));
    if (!state.lost)
        host.lostServers.erase(server.info.id);
    if (!accepted)
        return;
    for (const auto &shard : grant.dropped)
        releaseShard(host.holdings, shard);
}

auto atServer(model_region &model, std::size_t number, const std::function<void()> &work) -> void
{
    const auto frozen = model.servers[number].frozenUntil;
    if (model.now >= frozen) {
        work();
        return;
    }
    plan(model, frozen - model.now, [&model, number, work] { atServer(model, number, work); });
}

auto sendGrant(model_region &model, std::size_t index, std::size_t number, const model_grant &grant)
        -> void
{
    const auto life = model.hosts[index].life;
    auto answered = std::make_shared<bool>(false);
    for (const auto delay : drawDeliveries(model)) {
        plan(model, delay, [&model, index, number, life, grant, answered] {
            if (isCut(model, model.hosts[index].info.id))
                return;
            atServer(model, number, [&model, index, number, life, grant, answered] {
                auto &server = model.servers[number];
                const auto accepted = takeGrant(model, server, grant);
                const auto clock = toMicroseconds(readClock(server.clock, model.now));
                const auto way = drawDeliveries(model);
                if (way.empty() || *answered)
                    return;
                plan(model, way.front(),
                     [&model, index, number, life, clock, accepted, grant, answered] {
                         if (*answered)
                             return;
                         *answered = true;
                         atHost(model, index, life,
                                [&model, index, number, clock, accepted, grant] {
                                    takeGrantAnswer(model, index, model.servers[number], clock,
                                                    accepted, grant);
                                });
                     });
            });
        });
    }
    plan(model, callTimeout, [&model, index, number, life, answered] {
        if (*answered)
            return;
        *answered = true;
        atHost(model, index, life, [&model, index, number] {
            noteGrantFailure(model.hosts[index].grants[model.servers[number].info.id]);
        });
    });
}

auto grantServer(model_region &model, std::size_t index, std::size_t number) -> void
{
    auto &host = model.hosts[index];
    const auto &server = model.servers[number].info;
    const auto now = clockOf(model, host);
    auto &state = host.grants[server.id];
    const auto given = host.holdings.table.groups[groupOf(server)].given;
    if (state.groupEpoch != given) {
        takeOverGrants(state, given, host.holdings.limits, now);
        host.lostServers.erase(server.id);
    }
    if (grantsHaveEnded(state, now)) {
        releaseServer(host.holdings, server.id);
        host.lostServers.insert(server.id);
    }
    model_grant grant;
    grant.groupEpoch = host.holdings.table.groups[groupOf(server)].given;
    grant.until = nextGrantEnd(state, host.holdings.leaseEnds, host.holdings.limits);
    grant.left = host.holdings.leaseEnds - now;
    grant.serverStart = state.start;
    grant.sequence = state.sequence;
    for (const auto &release : shardsToGrant(host.holdings, server.id, now)) {
        if (isReleasingShard(host.holdings, release.shard, now))
            grant.dropped.push_back(release.shard);
        else
            grant.shards.push_back(release);
    }
    if (!grant.until)
        grant.dropped.clear();
    sendGrant(model, index, number, grant);
}

auto grantAll(model_region &model, std::size_t index) -> void
{
    auto &host = model.hosts[index];
    const auto now = clockOf(model, host);
    noteLapse(host.holdings, now);
    tamperWithLease(model, host);
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
    tell(model, host.info.id + " restarts");
    auto fresh = model_host{};
    fresh.info = host.info;
    fresh.clock = host.clock;
    fresh.life = host.life + 1;
    const auto forgetful = model.options.broken == broken_rule::ConsentForgotten;
    fresh.start = forgetful ? host.start : host.start + 1;
    const auto now = readClock(fresh.clock, model.now);
    fresh.region = newRegion({}, asMember(fresh), {{"orders", true, shardCount, true}}, now);
    if (forgetful) {
        fresh.region.leadership.started = now - 60min;
        fresh.region.leadership.record = host.region.leadership.record;
    }
    fresh.holdings = newHoldings({}, fresh.info.id);
    host = std::move(fresh);
    for (std::size_t other = 0; other < hostCount; ++other) {
        if (other != index)
            host.heard[model.hosts[other].info.id] = now;
    }
}

auto injectFault(model_region &model) -> void
{
    if (!isFaulty(model))
        return;
    const auto index = draw(model, hostCount);
    auto &host = model.hosts[index];
    switch (draw(model, 9)) {
    case 0:
        host.pausedUntil = model.now + drawLength(model, 4s);
        tell(model, host.info.id + " paused until " + std::to_string(host.pausedUntil.count()));
        break;
    case 1:
        restart(model, index);
        break;
    case 2:
        model.cutUntil[host.info.id] = model.now + drawLength(model, 4s);
        tell(model,
             host.info.id + " cut until " + std::to_string(model.cutUntil[host.info.id].count()));
        break;
    case 3:
        model.storeDown = true;
        model.storeDownUntil = model.now + drawLength(model, 5s);
        tell(model, "store down until " + std::to_string(model.storeDownUntil.count()));
        break;
    case 4:
        model.servers[draw(model, serverCount)].frozenUntil = model.now + drawLength(model, 4s);
        break;
    case 5: {
        // Two hosts of one side, cut off from the rest together.
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
    if (isFaulty(model))
        return;
    model.storeDown = false;
    model.cutUntil.clear();
    for (auto &host : model.hosts)
        host.pausedUntil = std::min(host.pausedUntil, model.now);
    for (auto &server : model.servers)
        server.frozenUntil = std::min(server.frozenUntil, model.now);
}

// At most one host may send for a group, and one for a shard, at any time.
auto checkSenders(model_region &model) -> void
{
    std::map<group_id, host_id> senders;
    for (auto &host : model.hosts) {
        if (isPaused(model, host))
            continue;
        const auto now = clockOf(model, host);
        noteLapse(host.holdings, now);
        tamperWithLease(model, host);
        for (const auto &server : model.servers) {
            const auto group = groupOf(server.info);
            if (!mayUseGroup(host.holdings, group, now))
                continue;
            const auto [known, added] = senders.try_emplace(group, host.info.id);
            if (!added)
                noteBreach(model,
                           "group of " + server.info.id + " used by " + known->second + " and "
                                   + host.info.id);
        }
    }
}

auto repeat(model_region &model, duration period, const std::function<void()> &work) -> void
{
    plan(model, period, [&model, period, work] {
        work();
        repeat(model, period, work);
    });
}

auto repeatAtHost(model_region &model, std::size_t index, duration period,
                  void (*work)(model_region &, std::size_t)) -> void
{
    const auto phase = drawLength(model, period);
    plan(model, phase, [&model, index, period, work] {
        repeat(model, period, [&model, index, work] {
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
    model.highestHeld.resize(shardCount);
    addHosts(model);
    for (std::size_t index = 0; index < hostCount; ++index) {
        repeatAtHost(model, index, exchangePeriod, exchange);
        repeatAtHost(model, index, exchangePeriod, grantAll);
        repeatAtHost(model, index, stepPeriod, elect);
        repeatAtHost(model, index, stepPeriod, lead);
    }
    repeat(model, faultPeriod, [&model] { injectFault(model); });
    repeat(model, checkPeriod, [&model] {
        endFaults(model);
        checkSenders(model);
    });
    const auto end = options.faulty + options.quiet;
    while (model.now < end && model.result.breach.empty()) {
        auto next = model.events.top();
        model.events.pop();
        model.now = next.at;
        next.run();
    }
    model.result.unserved = countUnserved(model);
    return model.result;
}

} // namespace parsleyloft::model
