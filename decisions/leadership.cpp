// Leadership of a region by promises of the member hosts.
#include "decisions/leadership.h"

#include "core/hash.h"

#include <algorithm>

namespace parsleyloft {

namespace {

constexpr std::size_t maxMembers = 9;

auto findMember(const member_record &record, const host_id &host) -> const member *
{
    for (const auto &one : record.members) {
        if (one.host == host)
            return &one;
    }
    return nullptr;
}

auto majorityOf(const member_record &record) -> std::size_t
{
    return record.members.size() / 2 + 1;
}

// A restarted process may have promised something in its former life; that has ended
// one licence length after its start.
auto pastPromisesEnded(const leadership_state &state, instant now) -> bool
{
    return now >= state.started + lengthenedForDrift(state.limits.licence, state.limits);
}

auto freeToSupport(const leadership_state &state, const host_id &host, instant now) -> bool
{
    if (!pastPromisesEnded(state, now))
        return false;
    return now >= state.promisedUntil || state.supported == host || state.onlyCandidate;
}

auto support(leadership_state &state, const host_id &host, term in, instant now) -> void
{
    state.highest = in;
    state.consented = in;
    state.supported = host;
    state.promisedUntil = now + lengthenedForDrift(state.limits.licence, state.limits);
    state.lastWord = now;
    state.onlyCandidate = false;
}

auto hasMajority(const member_record &record, const std::map<host_id, start_number> &consents,
                 bool byHostOnly) -> bool
{
    std::size_t count = 0;
    for (const auto &one : record.members) {
        const auto found = consents.find(one.host);
        if (found == consents.end())
            continue;
        if (byHostOnly || found->second == one.start)
            ++count;
    }
    return !record.members.empty() && count >= majorityOf(record);
}

auto confirmedBy(const leadership_state &state, const member_record &record, instant now)
        -> std::optional<instant>
{
    std::vector<instant> times;
    for (const auto &one : record.members) {
        if (one.host == state.self) {
            times.push_back(now);
            continue;
        }
        const auto found = state.confirmations.find(one.host);
        if (found != state.confirmations.end())
            times.push_back(found->second);
    }
    if (record.members.empty() || times.size() < majorityOf(record))
        return std::nullopt;
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[majorityOf(record) - 1];
}

auto becomeLeader(leadership_state &state, instant now) -> void
{
    state.role = leadership_role::Leader;
    state.onlyCandidate = false;
    state.confirmations.clear();
    state.knownVersions.clear();
    state.pendingRecord.reset();
    for (const auto &[host, start] : state.consents)
        state.confirmations[host] = state.asked;
    const auto rest = state.limits.grant - state.limits.licence;
    state.quietUntil =
            now + lengthenedForDrift(lengthenedForDrift(rest, state.limits), state.limits);
}

auto majorityKnowsRecord(const leadership_state &state) -> bool
{
    std::size_t count = 0;
    for (const auto &one : state.record.members) {
        const auto found = state.knownVersions.find(one.host);
        const auto known =
                found != state.knownVersions.end() && found->second >= state.record.version;
        if (one.host == state.self || known)
            ++count;
    }
    return count >= majorityOf(state.record);
}

auto withNewStarts(const member_record &record, const std::vector<live_host> &hosts)
        -> member_record
{
    auto next = record;
    for (auto &one : next.members) {
        for (const auto &host : hosts) {
            if (host.alive && host.identity.host == one.host)
                one = host.identity;
        }
    }
    return next;
}

auto withoutOneLost(const member_record &record, const std::vector<live_host> &hosts,
                    const host_id &self) -> std::optional<member_record>
{
    for (const auto &host : hosts) {
        if (host.alive && !host.leaving)
            continue;
        const auto *known = findMember(record, host.identity.host);
        if (known == nullptr || known->host == self)
            continue;
        auto next = record;
        std::erase_if(next.members, [&](const auto &one) { return one.host == known->host; });
        return next;
    }
    return std::nullopt;
}

auto withOneMore(const member_record &record, const std::vector<live_host> &hosts)
        -> std::optional<member_record>
{
    if (record.members.size() >= maxMembers)
        return std::nullopt;
    std::map<domain_id, std::size_t> perDomain;
    for (const auto &one : record.members)
        ++perDomain[one.domain];
    const live_host *best = nullptr;
    for (const auto &host : hosts) {
        if (!host.alive || host.leaving || findMember(record, host.identity.host) != nullptr)
            continue;
        const auto fewer = best == nullptr
                || perDomain[host.identity.domain] < perDomain[best->identity.domain];
        if (fewer)
            best = &host;
    }
    if (best == nullptr)
        return std::nullopt;
    auto next = record;
    next.members.push_back(best->identity);
    return next;
}

} // namespace

auto newLeadership(const lease_limits &limits, const member &self, instant now) -> leadership_state
{
    leadership_state state;
    state.limits = limits;
    state.self = self.host;
    state.start = self.start;
    state.domain = self.domain;
    state.started = now;
    state.lastWord = now;
    return state;
}

auto isMember(const member_record &record, const host_id &host, start_number start) -> bool
{
    const auto *known = findMember(record, host);
    return known != nullptr && known->start == start;
}

auto learnRecord(leadership_state &state, const member_record &record) -> void
{
    if (record.version > state.record.version)
        state.record = record;
    if (state.record.leaderTerm.generation > state.highest.generation)
        state.highest = std::max(state.highest, term{state.record.leaderTerm.generation, 0});
}

auto electionDue(const leadership_state &state, instant now) -> bool
{
    if (state.role == leadership_role::Leader)
        return false;
    const auto spread = state.limits.electionSpread.count();
    const auto share = static_cast<std::int64_t>(stableHash(state.self, state.highest.ballot)
                                                 % static_cast<std::uint64_t>(spread));
    return now >= state.lastWord + state.limits.electionTimeout + duration(share);
}

auto standAsCandidate(leadership_state &state, instant now, std::optional<std::uint32_t> generation)
        -> std::optional<consent_request>
{
    if (!freeToSupport(state, state.self, now))
        return std::nullopt;
    const auto byBallot = !generation.has_value();
    if (byBallot && !isMember(state.record, state.self, state.start))
        return std::nullopt;
    const auto asked = byBallot ? term{state.highest.generation, state.highest.ballot + 1}
                                : term{*generation, 0};
    if (asked < state.highest || asked <= state.consented)
        return std::nullopt;
    support(state, state.self, asked, now);
    state.role = leadership_role::Candidate;
    state.onlyCandidate = true;
    state.asked = now;
    state.consents.clear();
    state.consents[state.self] = state.start;
    return consent_request{state.self, asked, state.record};
}

auto answerConsent(leadership_state &state, const consent_request &request, instant now)
        -> consent_reply
{
    auto reply = consent_reply{state.self, state.start, false, state.highest, state.record};
    const auto current = request.record.version >= state.record.version;
    if (!current || request.asked < state.highest || request.asked <= state.consented)
        return reply;
    if (!freeToSupport(state, request.candidate, now))
        return reply;
    const auto remembers = isMember(request.record, state.self, state.start);
    const auto byGeneration = request.asked.ballot == 0 && state.recordRead;
    if (!remembers && !byGeneration)
        return reply;
    learnRecord(state, request.record);
    support(state, request.candidate, request.asked, now);
    state.role = leadership_role::Follower;
    reply.granted = true;
    reply.highest = state.highest;
    reply.record = state.record;
    return reply;
}

auto countConsent(leadership_state &state, const consent_reply &reply, instant now) -> bool
{
    learnRecord(state, reply.record);
    if (state.role != leadership_role::Candidate)
        return false;
    if (!reply.granted) {
        // The next candidacy starts above every term seen.
        if (reply.highest > state.highest) {
            state.highest = reply.highest;
            state.role = leadership_role::Follower;
        }
        return false;
    }
    if (reply.highest != state.highest)
        return false;
    state.consents[reply.from] = reply.start;
    const auto byHostOnly = state.highest.ballot == 0;
    if (!hasMajority(state.record, state.consents, byHostOnly))
        return false;
    becomeLeader(state, now);
    return true;
}

auto promiseSupport(leadership_state &state, const host_id &leader, term ledIn, instant now) -> bool
{
    if (ledIn < state.highest)
        return false;
    if (!pastPromisesEnded(state, now)) {
        state.lastWord = now;
        return false;
    }
    const auto same = ledIn == state.highest && state.supported == leader;
    if (!same && !freeToSupport(state, leader, now))
        return false;
    support(state, leader, ledIn, now);
    state.role = leadership_role::Follower;
    return true;
}

auto countConfirmation(leadership_state &state, const host_id &host, start_number start,
                       instant stamp, std::uint64_t knownVersion) -> void
{
    // A process that consented in this very term remembers its promises, whether or not
    // the record has its start number already.
    const auto consent = state.consents.find(host);
    const auto consented = consent != state.consents.end() && consent->second == start;
    const auto counted = consented || isMember(state.record, host, start)
            || (state.pendingRecord && isMember(*state.pendingRecord, host, start));
    if (state.role != leadership_role::Leader)
        return;
    auto &known = state.knownVersions[host];
    known = std::max(known, knownVersion);
    if (!counted)
        return;
    auto &newest = state.confirmations[host];
    newest = std::max(newest, stamp);
}

auto licenceConfirmedAt(const leadership_state &state, instant now) -> std::optional<instant>
{
    if (state.role != leadership_role::Leader)
        return std::nullopt;
    const auto present = confirmedBy(state, state.record, now);
    if (!present || !state.pendingRecord)
        return present;
    const auto pending = confirmedBy(state, *state.pendingRecord, now);
    if (!pending)
        return std::nullopt;
    return std::min(*present, *pending);
}

auto isLicensed(const leadership_state &state, instant now) -> bool
{
    const auto confirmed = licenceConfirmedAt(state, now);
    return confirmed && now < *confirmed + shortenedForDrift(state.limits.licence, state.limits);
}

auto promiseOneself(leadership_state &state, instant now) -> void
{
    state.promisedUntil = now + lengthenedForDrift(state.limits.licence, state.limits);
}

auto resignIfStale(leadership_state &state, instant now) -> void
{
    if (state.role != leadership_role::Leader)
        return;
    const auto confirmed = licenceConfirmedAt(state, now);
    const auto since = confirmed ? *confirmed : state.asked;
    if (now < since + state.limits.licence + state.limits.electionTimeout)
        return;
    state.role = leadership_role::Follower;
    state.lastWord = now;
}

auto meetTerm(leadership_state &state, term seen) -> void
{
    if (seen <= state.highest)
        return;
    state.highest = seen;
    // The former leader stands again at once: its members are bound to it alone.
    if (state.role == leadership_role::Leader)
        state.lastWord = instant{};
    state.role = leadership_role::Follower;
}

auto proposeRecord(const leadership_state &state, const std::vector<live_host> &hosts)
        -> std::optional<member_record>
{
    if (state.role != leadership_role::Leader || state.pendingRecord)
        return std::nullopt;
    if (!majorityKnowsRecord(state))
        return std::nullopt;
    auto next = std::optional(withNewStarts(state.record, hosts));
    if (next->members == state.record.members)
        next = withoutOneLost(state.record, hosts, state.self);
    if (!next)
        next = withOneMore(state.record, hosts);
    const auto newTerm = state.record.leaderTerm != state.highest;
    if (!next && newTerm)
        next = state.record;
    if (!next)
        return std::nullopt;
    next->version = state.record.version + 1;
    next->leaderTerm = state.highest;
    next->leader = state.self;
    return next;
}

auto recoveryRecord(const leadership_state &state, const std::set<std::string> &out)
        -> member_record
{
    auto next = state.record;
    next.version = state.record.version + 1;
    next.leaderTerm =
            term{std::max(state.record.leaderTerm.generation, state.highest.generation) + 1, 0};
    next.leader = state.self;
    std::erase_if(next.members, [&](const auto &one) {
        return out.contains(one.host) || out.contains(one.domain);
    });
    if (findMember(next, state.self) == nullptr && next.members.empty())
        next.members.push_back({state.self, state.start, state.domain});
    return next;
}

} // namespace parsleyloft
