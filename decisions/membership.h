// Which host keeps the queue of a group: agreed on without a word, from the list of hosts.
#pragma once

#include "core/site.h"

namespace parsleyloft {

// The hosts that may keep the group's queue, the first choice first: those of the group's
// own failure domain, then the others, each in an order that every host works out alike.
// Hosts with less than half of the largest processor share come after the larger ones: all
// requests for a group pass through its keeper.
auto rankQueueHosts(const std::map<host_id, member_host> &hosts, const group_id &group)
        -> std::vector<host_id>;

// Whom a host asks for news of the store: the leader, then the deputy, which is the first of the
// others that may lead. The deputy itself asks the leader alone, so that no two hosts wait for
// each other. An empty leader stands for none.
auto findUpdateSources(const std::map<host_id, member_host> &hosts, const host_id &leader,
                       const host_id &self) -> std::vector<host_id>;

// The leader's key as it was last heard. An empty host stands for none.
struct leader_claim
{
    host_id host;
    // The lease with which the key ends.
    std::uint64_t lease = 0;
    std::uint64_t revision = 0;
};

// True when the key was claimed by this host under the lease that it holds now. A host that lost
// its lease and opened another one has to claim anew, also while the key still names it.
auto isOwnClaim(const leader_claim &claim, const host_id &self, std::uint64_t lease) -> bool;

// A host that did not answer is left alone until then, longer each time in a row.
struct host_suspicion
{
    instant until{};
    duration length = 0us;
};

auto isSuspected(const std::map<host_id, host_suspicion> &doubts, const host_id &host, instant now)
        -> bool;

// Doubles the doubt, within the bounds.
auto extendSuspicion(host_suspicion &doubt, duration first, duration longest, instant now) -> void;

// The place of a host among those that may lead, 0 for the first: larger hosts come first.
auto leadershipRank(const std::map<host_id, member_host> &hosts, const host_id &host)
        -> std::size_t;

} // namespace parsleyloft
