// Leader election of a region by promises of the member hosts.
#include "decisions/leadership.h"

#include "core/hash.h"

#include <algorithm>

namespace parsleyloft {

namespace {

constexpr std::size_t maxMembers = 9;

auto findMember(const member_record &record, const host_id &host) -> const member *
{
    for (const auto &member : record.members) {
        if (member.host == host)
            return &member;
    }
    return nullptr;
}

auto majorityOf(const member_record &record) -> std::size_t
{
    return record.members.size() / 2 + 1;
}

// The process of this host that ran before a restart may have made a promise. It has ended one
// licence length after the start of this process.
auto earlierPromisesEnded(const leadership_state &state, instant now) -> bool
{
    return now >= state.started + lengthenedForDrift(state.limits.licence, state.limits);
}

auto maySupport(const leadership_state &state, const host_id &host, instant now) -> bool
{
    if (!earlierPromisesEnded(state, now))
        return false;
    return now >= state.promisedUntil || state.supportedHost == host || state.selfPromiseUnused;
}

auto promise(leadership_state &state, const host_id &host, term supportedTerm, instant now) -> void
{
    state.highestTerm = supportedTerm;
    state.lastConsentTerm = supportedTerm;
    state.supportedHost = host;
    state.promisedUntil = now + lengthenedForDrift(state.limits.licence, state.limits);
    state.electionTimerStart = now;
    state.selfPromiseUnused = false;
}

auto hasMajority(const member_record &record, const std::map<host_id, start_number> &consents,
                 bool anyStartNumber) -> bool
{
    std::size_t count = 0;
    for (const auto &member : record.members) {
        const auto found = consents.find(member.host);
        if (found == consents.end())
            continue;
        if (anyStartNumber || found->second == member.start)
            ++count;
    }
    return !record.members.empty() && count >= majorityOf(record);
}

// The latest instant at which a majority of the record's members had confirmed this leader.
auto majorityConfirmedAt(const leadership_state &state, const member_record &record, instant now)
        -> std::optional<instant>
{
    std::vector<instant> times;
    for (const auto &member : record.members) {
        if (member.host == state.self) {
            times.push_back(now);
            continue;
        }
        const auto found = state.confirmations.find(member.host);
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
    state.selfPromiseUnused = false;
    state.confirmations.clear();
    state.memberRecordVersions.clear();
    state.pendingRecord.reset();
    for (const auto &[host, start] : state.consents)
        state.confirmations[host] = state.consentRequestedAt;
    const auto remaining = state.limits.grant - state.limits.licence;
    state.changesFrozenUntil =
            now + lengthenedForDrift(lengthenedForDrift(remaining, state.limits), state.limits);
}

auto majorityHasRecord(const leadership_state &state) -> bool
{
    std::size_t count = 0;
    for (const auto &member : state.record.members) {
        const auto found = state.memberRecordVersions.find(member.host);
        const auto current =
                found != state.memberRecordVersions.end() && found->second >= state.record.version;
        if (member.host == state.self || current)
            ++count;
    }
    return count >= majorityOf(state.record);
}

// The record with the present start numbers of its members.
auto withUpdatedStarts(const member_record &record, const std::vector<host_status> &hosts)
        -> member_record
{
    auto next = record;
    for (auto &member : next.members) {
        for (const auto &host : hosts) {
            if (host.alive && host.identity.host == member.host)
                member = host.identity;
        }
    }
    return next;
}

// The record without one member that is gone or leaving.
auto withoutOneLostHost(const member_record &record, const std::vector<host_status> &hosts,
                        const host_id &self) -> std::optional<member_record>
{
    for (const auto &host : hosts) {
        if (host.alive && !host.leaving)
            continue;
        const auto *present = findMember(record, host.identity.host);
        if (present == nullptr || present->host == self)
            continue;
        auto next = record;
        std::erase_if(next.members,
                      [&](const auto &member) { return member.host == present->host; });
        return next;
    }
    return std::nullopt;
}

// The record with one more host, from the failure domain with the fewest members.
auto withOneNewHost(const member_record &record, const std::vector<host_status> &hosts)
        -> std::optional<member_record>
{
    if (record.members.size() >= maxMembers)
        return std::nullopt;
    std::map<domain_id, std::size_t> perDomain;
    for (const auto &member : record.members)
        ++perDomain[member.domain];
    const host_status *best = nullptr;
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
    state.electionTimerStart = now;
    return state;
}

auto isMember(const member_record &record, const host_id &host, start_number start) -> bool
{
    const auto *found = findMember(record, host);
    return found != nullptr && found->start == start;
}

auto adoptNewerRecord(leadership_state &state, const member_record &record) -> void
{
    if (record.version > state.record.version)
        state.record = record;
    if (state.record.leaderTerm.generation > state.highestTerm.generation)
        state.highestTerm =
                std::max(state.highestTerm, term{state.record.leaderTerm.generation, 0});
}

auto isElectionDue(const leadership_state &state, instant now) -> bool
{
    if (state.role == leadership_role::Leader)
        return false;
    const auto spread = state.limits.electionSpread.count();
    const auto offset = static_cast<std::int64_t>(stableHash(state.self, state.highestTerm.ballot)
                                                  % static_cast<std::uint64_t>(spread));
    return now >= state.electionTimerStart + state.limits.electionTimeout + duration(offset);
}

auto becomeCandidate(leadership_state &state, instant now, std::optional<std::uint32_t> generation)
        -> std::optional<consent_request>
{
    if (!maySupport(state, state.self, now))
        return std::nullopt;
    const auto byBallot = !generation.has_value();
    if (byBallot && !isMember(state.record, state.self, state.start))
        return std::nullopt;
    const auto requested = byBallot
            ? term{state.highestTerm.generation, state.highestTerm.ballot + 1}
            : term{*generation, 0};
    if (requested < state.highestTerm || requested <= state.lastConsentTerm)
        return std::nullopt;
    promise(state, state.self, requested, now);
    state.role = leadership_role::Candidate;
    state.selfPromiseUnused = true;
    state.consentRequestedAt = now;
    state.consents.clear();
    state.consents[state.self] = state.start;
    return consent_request{state.self, requested, state.record};
}

auto decideConsent(leadership_state &state, const consent_request &request, instant now)
        -> consent_reply
{
    auto reply = consent_reply{state.self, state.start, false, state.highestTerm, state.record};
    const auto current = request.record.version >= state.record.version;
    if (!current || request.requestedTerm < state.highestTerm
        || request.requestedTerm <= state.lastConsentTerm)
        return reply;
    if (!maySupport(state, request.candidate, now))
        return reply;
    const auto listed = isMember(request.record, state.self, state.start);
    const auto byGeneration = request.requestedTerm.ballot == 0 && state.recordRead;
    if (!listed && !byGeneration)
        return reply;
    adoptNewerRecord(state, request.record);
    promise(state, request.candidate, request.requestedTerm, now);
    state.role = leadership_role::Follower;
    reply.granted = true;
    reply.highestTerm = state.highestTerm;
    reply.record = state.record;
    return reply;
}

auto handleConsentReply(leadership_state &state, const consent_reply &reply, instant now) -> bool
{
    adoptNewerRecord(state, reply.record);
    if (state.role != leadership_role::Candidate)
        return false;
    if (!reply.granted) {
        // The next candidacy requests a term above every term seen.
        if (reply.highestTerm > state.highestTerm) {
            state.highestTerm = reply.highestTerm;
            state.role = leadership_role::Follower;
        }
        return false;
    }
    if (reply.highestTerm != state.highestTerm)
        return false;
    state.consents[reply.from] = reply.start;
    // A term with a new generation serves a region whose members may all have restarted, so that
    // the start numbers in the record are outdated.
    const auto anyStartNumber = state.highestTerm.ballot == 0;
    if (!hasMajority(state.record, state.consents, anyStartNumber))
        return false;
    becomeLeader(state, now);
    return true;
}

auto promiseSupport(leadership_state &state, const host_id &leader, term leaderTerm, instant now)
        -> bool
{
    if (leaderTerm < state.highestTerm)
        return false;
    if (!earlierPromisesEnded(state, now)) {
        state.electionTimerStart = now;
        return false;
    }
    const auto same = leaderTerm == state.highestTerm && state.supportedHost == leader;
    if (!same && !maySupport(state, leader, now))
        return false;
    promise(state, leader, leaderTerm, now);
    state.role = leadership_role::Follower;
    return true;
}

auto recordConfirmation(leadership_state &state, const host_id &host, start_number start,
                        instant stamp, std::uint64_t recordVersion) -> void
{
    // A process that consented in this term has its promises in memory, even if the record does
    // not have its start number yet.
    const auto consent = state.consents.find(host);
    const auto consented = consent != state.consents.end() && consent->second == start;
    const auto counts = consented || isMember(state.record, host, start)
            || (state.pendingRecord && isMember(*state.pendingRecord, host, start));
    if (state.role != leadership_role::Leader)
        return;
    auto &version = state.memberRecordVersions[host];
    version = std::max(version, recordVersion);
    if (!counts)
        return;
    auto &newest = state.confirmations[host];
    newest = std::max(newest, stamp);
}

auto licenceConfirmedAt(const leadership_state &state, instant now) -> std::optional<instant>
{
    if (state.role != leadership_role::Leader)
        return std::nullopt;
    const auto present = majorityConfirmedAt(state, state.record, now);
    if (!present || !state.pendingRecord)
        return present;
    const auto pending = majorityConfirmedAt(state, *state.pendingRecord, now);
    if (!pending)
        return std::nullopt;
    return std::min(*present, *pending);
}

auto isLicensed(const leadership_state &state, instant now) -> bool
{
    const auto confirmed = licenceConfirmedAt(state, now);
    return confirmed && now < *confirmed + shortenedForDrift(state.limits.licence, state.limits);
}

auto extendOwnPromise(leadership_state &state, instant now) -> void
{
    state.promisedUntil = now + lengthenedForDrift(state.limits.licence, state.limits);
}

auto resignIfUnlicensed(leadership_state &state, instant now) -> void
{
    if (state.role != leadership_role::Leader)
        return;
    const auto confirmed = licenceConfirmedAt(state, now);
    const auto since = confirmed ? *confirmed : state.consentRequestedAt;
    if (now < since + state.limits.licence + state.limits.electionTimeout)
        return;
    state.role = leadership_role::Follower;
    state.electionTimerStart = now;
}

auto observeTerm(leadership_state &state, term seen) -> void
{
    if (seen <= state.highestTerm)
        return;
    state.highestTerm = seen;
    // A former leader becomes a candidate again at once: until their promises end, its members
    // can support no other host.
    if (state.role == leadership_role::Leader)
        state.electionTimerStart = instant{};
    state.role = leadership_role::Follower;
}

auto proposeRecord(const leadership_state &state, const std::vector<host_status> &hosts)
        -> std::optional<member_record>
{
    if (state.role != leadership_role::Leader || state.pendingRecord)
        return std::nullopt;
    if (!majorityHasRecord(state))
        return std::nullopt;
    auto next = std::optional(withUpdatedStarts(state.record, hosts));
    if (next->members == state.record.members)
        next = withoutOneLostHost(state.record, hosts, state.self);
    if (!next)
        next = withOneNewHost(state.record, hosts);
    const auto newTerm = state.record.leaderTerm != state.highestTerm;
    if (!next && newTerm)
        next = state.record;
    if (!next)
        return std::nullopt;
    next->version = state.record.version + 1;
    next->leaderTerm = state.highestTerm;
    next->leader = state.self;
    return next;
}

auto makeRecoveryRecord(const leadership_state &state, const std::set<std::string> &outOfService)
        -> member_record
{
    auto next = state.record;
    next.version = state.record.version + 1;
    next.leaderTerm =
            term{std::max(state.record.leaderTerm.generation, state.highestTerm.generation) + 1, 0};
    next.leader = state.self;
    std::erase_if(next.members, [&](const auto &member) {
        return outOfService.contains(member.host) || outOfService.contains(member.domain);
    });
    if (findMember(next, state.self) == nullptr && next.members.empty())
        next.members.push_back({state.self, state.start, state.domain});
    return next;
}

} // namespace parsleyloft
