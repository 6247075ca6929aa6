// The roles of hosts, derived from the list of hosts.
#include "decisions/membership.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace parsleyloft {

namespace {

// A host with less than this part of the largest processor share becomes queue host only when the
// larger ones are unavailable.
constexpr double smallShare = 0.5;

// From this size on, updates go through relays: one copy crosses to each failure domain, and the
// leader serves two hosts of each instead of all.
constexpr std::size_t minRelayedFleet = 100;
// Hosts that may claim leadership at any time.
constexpr std::size_t leaderCandidates = 16;
constexpr lease_terms candidateLease{3s, 700ms};
// Outlasts an outage of the store of 8 s.
constexpr lease_terms ordinaryLease{12s, 3500ms};
// Without a source of updates an ordinary host calls the store at least this often. Longer in
// larger fleets, to bound the calls of all hosts together.
constexpr duration minProbeInterval = 700ms;
constexpr duration probeIntervalPerHost = 5ms;
constexpr duration claimDelayPerRank = 40ms;
constexpr duration maxClaimDelay = 3s;
// Time for the former leader to open a lease, announce itself and claim leadership again.
constexpr duration formerLeaderHeadStart = 400ms;

// Weighted rendezvous hashing: a host has the least distance with a probability in proportion to
// its processor share.
auto distanceOf(const member_host &host, std::uint64_t seed) -> double
{
    constexpr double hashCount = 18446744073709551616.0;
    const auto uniform = (static_cast<double>(stableHash(host.id, seed)) + 1) / hashCount;
    return -std::log(uniform) / host.processorShare;
}

auto largestShare(const std::map<host_id, member_host> &hosts) -> double
{
    double largest = 0;
    for (const auto &[id, host] : hosts)
        largest = std::max(largest, host.processorShare);
    return largest;
}

// True when the left host precedes the right one as candidate for leadership.
auto precedes(const member_host &left, const member_host &right) -> bool
{
    if (left.processorShare != right.processorShare)
        return left.processorShare > right.processorShare;
    return std::pair(stableHash(left.id), left.id) < std::pair(stableHash(right.id), right.id);
}

auto firstCandidate(const std::map<host_id, member_host> &hosts, const host_id &excluded)
        -> const member_host *
{
    const member_host *first = nullptr;
    for (const auto &[id, host] : hosts) {
        if (id != excluded && (first == nullptr || precedes(host, *first)))
            first = &host;
    }
    return first;
}

} // namespace

auto rankQueueHosts(const std::map<host_id, member_host> &hosts, const group_id &group)
        -> std::vector<host_id>
{
    struct rank
    {
        bool otherDomain;
        bool small;
        double distance;
        host_id host;

        auto operator<=>(const rank &) const = default;
    };
    std::vector<rank> ranks;
    ranks.reserve(hosts.size());
    const auto seed = stableHash(group.service + "/" + group.domain);
    const auto small = smallShare * largestShare(hosts);
    for (const auto &[id, host] : hosts)
        ranks.push_back({host.domain != group.domain, host.processorShare < small,
                         distanceOf(host, seed), id});
    std::sort(ranks.begin(), ranks.end(),
              [](const rank &left, const rank &right) { return left < right; });
    std::vector<host_id> queueHosts;
    queueHosts.reserve(ranks.size());
    for (const auto &entry : ranks)
        queueHosts.push_back(entry.host);
    return queueHosts;
}

auto retainHosts(std::map<host_id, member_host> &hosts, missing_hosts &missing,
                 const std::set<host_id> &listed, const host_id &self, instant now) -> void
{
    missing.ids.clear();
    std::erase_if(hosts, [&](const auto &entry) {
        if (entry.first == self || listed.contains(entry.first))
            return false;
        if (now >= missing.graceEnds)
            return true;
        missing.ids.insert(entry.first);
        return false;
    });
}

auto removeHost(std::map<host_id, member_host> &hosts, missing_hosts &missing, const host_id &id,
                instant now) -> void
{
    if (now >= missing.graceEnds)
        hosts.erase(id);
    else if (hosts.contains(id))
        missing.ids.insert(id);
}

auto dropMissingHosts(std::map<host_id, member_host> &hosts, missing_hosts &missing, instant now)
        -> bool
{
    if (missing.ids.empty() || now < missing.graceEnds)
        return false;
    for (const auto &id : missing.ids)
        hosts.erase(id);
    missing.ids.clear();
    return true;
}

auto findRelays(const std::map<host_id, member_host> &hosts, const domain_id &domain,
                const host_id &leader) -> std::vector<host_id>
{
    std::vector<host_id> relays;
    if (hosts.size() < minRelayedFleet)
        return relays;
    const member_host *first = nullptr;
    const member_host *second = nullptr;
    for (const auto &[id, host] : hosts) {
        if (host.domain != domain || id == leader)
            continue;
        if (first == nullptr || precedes(host, *first)) {
            second = first;
            first = &host;
        } else if (second == nullptr || precedes(host, *second)) {
            second = &host;
        }
    }
    for (const auto *relay : {first, second}) {
        if (relay != nullptr)
            relays.push_back(relay->id);
    }
    return relays;
}

auto findUpdateSources(const std::map<host_id, member_host> &hosts, const host_id &leader,
                       const host_id &self) -> std::vector<host_id>
{
    if (leader == self)
        return {};
    std::vector<host_id> sources;
    const auto *standby = firstCandidate(hosts, leader);
    const auto isStandby = standby != nullptr && standby->id == self;
    const auto own = hosts.find(self);
    if (own != hosts.end() && !isStandby) {
        sources = findRelays(hosts, own->second.domain, leader);
        if (std::find(sources.begin(), sources.end(), self) != sources.end())
            sources.clear();
    }
    const auto add = [&](const host_id &id) {
        if (std::find(sources.begin(), sources.end(), id) == sources.end())
            sources.push_back(id);
    };
    if (hosts.contains(leader))
        add(leader);
    if (standby != nullptr && !isStandby)
        add(standby->id);
    return sources;
}

auto isVacant(const leader_claim &claim, store_era era) -> bool
{
    return claim.position.revision == 0 || claim.era < era;
}

auto isOwnClaim(const leader_claim &claim, const host_id &self, std::uint64_t lease, store_era era)
        -> bool
{
    return !isVacant(claim, era) && claim.host == self && lease != 0 && claim.lease == lease;
}

auto isSuspected(const std::map<host_id, host_suspicion> &suspicions, const host_id &host,
                 instant now) -> bool
{
    const auto found = suspicions.find(host);
    return found != suspicions.end() && now < found->second.until;
}

auto extendSuspicion(host_suspicion &suspicion, duration first, duration longest, instant now)
        -> void
{
    suspicion.length = std::clamp(suspicion.length * 2, first, longest);
    suspicion.until = now + suspicion.length;
}

auto leaseTermsFor(const lease_situation &situation) -> lease_terms
{
    if (situation.settled && situation.rank < leaderCandidates)
        return candidateLease;
    auto terms = ordinaryLease;
    if (!situation.usesUpdateSource)
        terms.renewAfter = std::clamp<duration>(
                probeIntervalPerHost * static_cast<std::int64_t>(situation.hosts), minProbeInterval,
                ordinaryLease.renewAfter);
    return terms;
}

auto claimDelay(std::size_t rank) -> duration
{
    return std::min<duration>(claimDelayPerRank * static_cast<std::int64_t>(rank), maxClaimDelay);
}

auto claimDelayAfterRestore(std::size_t rank, bool wasLeader) -> duration
{
    return wasLeader ? 0us : formerLeaderHeadStart + claimDelay(rank);
}

auto leadershipRank(const std::map<host_id, member_host> &hosts, const host_id &host) -> std::size_t
{
    const auto own = hosts.find(host);
    if (own == hosts.end())
        return hosts.size();
    const auto before = std::count_if(hosts.begin(), hosts.end(), [&](const auto &other) {
        return precedes(other.second, own->second);
    });
    return static_cast<std::size_t>(before);
}

} // namespace parsleyloft
