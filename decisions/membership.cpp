// Which host keeps the queue of a group.
#include "decisions/membership.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace parsleyloft {

namespace {

// A host with less than this part of the largest processor share keeps queues only when the
// larger ones are away.
constexpr double smallShare = 0.5;

// Weighted rendezvous hashing: the least distance wins in proportion to the share.
auto distanceOf(const member_host &host, std::uint64_t seed) -> double
{
    constexpr double hashes = 18446744073709551616.0;
    const auto drawn = (static_cast<double>(stableHash(host.id, seed)) + 1) / hashes;
    return -std::log(drawn) / host.processorShare;
}

auto largestShare(const std::map<host_id, member_host> &hosts) -> double
{
    double largest = 0;
    for (const auto &[id, host] : hosts)
        largest = std::max(largest, host.processorShare);
    return largest;
}

// True when the left host leads before the right one: larger hosts first.
auto leadsBefore(const member_host &left, const member_host &right) -> bool
{
    if (left.processorShare != right.processorShare)
        return left.processorShare > right.processorShare;
    return std::pair(stableHash(left.id), left.id) < std::pair(stableHash(right.id), right.id);
}

auto firstToLead(const std::map<host_id, member_host> &hosts, const host_id &without)
        -> const member_host *
{
    const member_host *first = nullptr;
    for (const auto &[id, host] : hosts) {
        if (id != without && (first == nullptr || leadsBefore(host, *first)))
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
        bool elsewhere;
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
    std::vector<host_id> keepers;
    keepers.reserve(ranks.size());
    for (const auto &one : ranks)
        keepers.push_back(one.host);
    return keepers;
}

auto findUpdateSources(const std::map<host_id, member_host> &hosts, const host_id &leader,
                       const host_id &self) -> std::vector<host_id>
{
    std::vector<host_id> sources;
    if (leader != self && hosts.contains(leader))
        sources.push_back(leader);
    const auto *deputy = firstToLead(hosts, leader);
    if (leader != self && deputy != nullptr && deputy->id != self)
        sources.push_back(deputy->id);
    return sources;
}

auto isOwnClaim(const leader_claim &claim, const host_id &self, std::uint64_t lease) -> bool
{
    return claim.revision != 0 && claim.host == self && lease != 0 && claim.lease == lease;
}

auto isSuspected(const std::map<host_id, host_suspicion> &doubts, const host_id &host, instant now)
        -> bool
{
    const auto found = doubts.find(host);
    return found != doubts.end() && now < found->second.until;
}

auto extendSuspicion(host_suspicion &doubt, duration first, duration longest, instant now) -> void
{
    doubt.length = std::clamp(doubt.length * 2, first, longest);
    doubt.until = now + doubt.length;
}

auto leadershipRank(const std::map<host_id, member_host> &hosts, const host_id &host) -> std::size_t
{
    const auto own = hosts.find(host);
    if (own == hosts.end())
        return hosts.size();
    const auto before = std::count_if(hosts.begin(), hosts.end(), [&](const auto &other) {
        return leadsBefore(other.second, own->second);
    });
    return static_cast<std::size_t>(before);
}

} // namespace parsleyloft
