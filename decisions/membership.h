// The roles of hosts, which every host derives from the list of hosts without messages: the queue
// host of each group, the order of candidates for leadership, and the sources of updates.
#pragma once

#include "core/site.h"
#include "core/store_position.h"

namespace parsleyloft {

// The candidates for the queue host of a group, the first choice first: hosts of the group's own
// failure domain, then the others. Every host computes the same order. Within each of the two,
// hosts with less than half of the largest processor share come last, because all requests for a
// group pass through its queue host.
auto rankQueueHosts(const std::map<host_id, member_host> &hosts, const group_id &group)
        -> std::vector<host_id>;

// Hosts that an older copy of the store lacks. They announce themselves again before the grace
// period ends, or are gone.
struct missing_hosts
{
    std::set<host_id> ids;
    instant graceEnds{};
};

// Removes the hosts that are not listed, other than this host itself, or marks them as missing
// during the grace period.
auto retainHosts(std::map<host_id, member_host> &hosts, missing_hosts &missing,
                 const std::set<host_id> &listed, const host_id &self, instant now) -> void;

// Removes a host whose entry was deleted, or marks it as missing during the grace period.
auto removeHost(std::map<host_id, member_host> &hosts, missing_hosts &missing, const host_id &id,
                instant now) -> void;

// Removes the missing hosts once the grace period has ended. Returns whether there were any.
auto dropMissingHosts(std::map<host_id, member_host> &hosts, missing_hosts &missing, instant now)
        -> bool;

// The hosts of a failure domain that relay updates to the others there, the first choice first: the
// first two of the domain in the order of leadershipRank, without the leader. Empty in small
// fleets, whose leader serves every host itself.
auto findRelays(const std::map<host_id, member_host> &hosts, const domain_id &domain,
                const host_id &leader) -> std::vector<host_id>;

// The hosts that a host requests store updates from: the relays of its failure domain, the leader,
// then the standby, which is the first of the other hosts in the order of leadershipRank. Relays
// use only the leader and the standby, and the standby only the leader, so that no two hosts wait
// for each other. An empty leader means that there is none.
auto findUpdateSources(const std::map<host_id, member_host> &hosts, const host_id &leader,
                       const host_id &self) -> std::vector<host_id>;

// The leader's key in the store as last received. An empty host means that there is no leader.
struct leader_claim
{
    host_id host;
    // The lease with which the key ends.
    std::uint64_t lease = 0;
    // The era of the store in which the key was written.
    store_era era = 0;
    // Revision 0 when there is no leader.
    store_position position;
};

// True when no host leads by this claim. One that was written in an earlier era is void: the store
// may have lost its lease and given out the lease's id again.
auto isVacant(const leader_claim &claim, store_era era) -> bool;

// True when this host claimed the key in this era under the lease that it holds now. A host that
// lost its lease and opened another one has to claim the key again, even while the key still names
// it.
auto isOwnClaim(const leader_claim &claim, const host_id &self, std::uint64_t lease, store_era era)
        -> bool;

// How long a host that did not answer is not contacted. Grows with each failure in a row.
struct host_suspicion
{
    instant until{};
    duration length = 0us;
};

auto isSuspected(const std::map<host_id, host_suspicion> &suspicions, const host_id &host,
                 instant now) -> bool;

// Suspects the host for twice as long as before, within the bounds.
auto extendSuspicion(host_suspicion &suspicion, duration first, duration longest, instant now)
        -> void;

// A host's lease at the store, and how often it is renewed.
struct lease_terms
{
    duration length = 0us;
    duration renewAfter = 0us;
};

// What a host's lease depends on.
struct lease_situation
{
    std::size_t hosts = 1;
    // The host's position among the candidates for leadership.
    std::size_t rank = 0;
    // True once the list of hosts has been read, so that the rank is known.
    bool settled = false;
    // True while the host receives updates from another host. Otherwise its renewals also show when
    // the store can be reached again.
    bool usesUpdateSource = false;
};

// The first candidates have short leases, so that a leader that fails is replaced soon. The others
// need them only to be listed: theirs are long, so that the renewals of the fleet stay few.
auto leaseTermsFor(const lease_situation &situation) -> lease_terms;

// How long a host waits before it claims the leader's key, from when the key became free. Hosts of
// higher rank wait for the candidates before them.
auto claimDelay(std::size_t rank) -> duration;

// The same after the store has come back from an older copy: the former leader precedes the others,
// because it has made the decisions that the store may have lost.
auto claimDelayAfterRestore(std::size_t rank, bool wasLeader) -> duration;

// The position of a host among the candidates for leadership, 0 for the first. Hosts with a larger
// processor share come first.
auto leadershipRank(const std::map<host_id, member_host> &hosts, const host_id &host)
        -> std::size_t;

} // namespace parsleyloft
