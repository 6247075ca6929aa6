// The holdings of one host: its lease, the groups it may send to, and what it has released.
//
// A host never resumes an epoch that it released or whose lease ended; the leader has to grant a
// higher one. So an outdated table can't restore a holding that another host or server has had in
// the meantime.
#pragma once

#include "core/limits.h"
#include "decisions/assignment.h"

#include <set>

namespace parsleyloft {

struct holdings_state
{
    lease_limits limits;
    host_id self;
    // Invariant: the epoch of an entry never falls, even if a new leader sends a table that lacks
    // the newest one.
    assignment_table table;
    // Invariant: every grant that this host gave to a server ends by then.
    instant leaseEnds{};
    // True once the holdings of the last lease have been released after its end.
    bool lapseHandled = true;
    std::map<group_id, epoch> releasedGroups;
    std::map<shard_id, epoch> releasedShards;
};

struct group_epoch
{
    group_id group;
    epoch grantEpoch;
};

struct shard_epoch
{
    shard_id shard;
    epoch grantEpoch;
};

auto newHoldings(lease_limits limits, host_id self) -> holdings_state;

// Replaces the table by a leader's table if that is newer, but keeps entries that this host has
// under a higher epoch. Returns true when the table was replaced.
//
// A host continues holdings of earlier terms but does not begin them: a new leader may not know yet
// that another host has had the holding in the meantime. So an entry of an earlier term that this
// host did not hold before is released. Everything that the first table assigns to this host is
// released too: it was granted to the process before a restart.
auto applyTable(holdings_state &state, const assignment_table &table) -> bool;

// The renewal of a host's lease by its leader.
struct lease_renewal
{
    term leaderTerm;
    // When this host sent the request.
    instant sentAt{};
    // Age of the confirmation of the leader's licence when it replied.
    duration confirmationAge{};
};

// Extends the lease. If the host had no valid lease, holdings of other terms are released: they may
// have been granted to others after the lease ended.
auto renewLease(holdings_state &state, const lease_renewal &renewal, instant now) -> void;

// Releases all groups that the host holds if its lease has ended. Called before each use of the
// holdings.
auto releaseIfLeaseEnded(holdings_state &state, instant now) -> void;

// True when this host may send to the servers of the group.
auto mayUseGroup(const holdings_state &state, const group_id &group, instant now) -> bool;

// True when this host may send work for the shard to its owner.
auto mayUseShard(const holdings_state &state, const shard_id &shard, instant now) -> bool;

// True while running work of the holding ends: it gets no new work, but its grants are renewed.
auto isReleasingGroup(const holdings_state &state, const group_id &group, instant now) -> bool;
auto isReleasingShard(const holdings_state &state, const shard_id &shard, instant now) -> bool;

auto releaseGroup(holdings_state &state, const group_id &group) -> void;
auto releaseShard(holdings_state &state, const shard_id &shard) -> void;

// Releases every shard that a server owns. Called once all grants of the server have ended.
auto releaseServer(holdings_state &state, const server_id &server) -> void;

// Released holdings that the leader's table still lists under the released epoch.
auto pendingGroupReleases(const holdings_state &state) -> std::vector<group_epoch>;
auto pendingShardReleases(const holdings_state &state) -> std::vector<shard_epoch>;

// The shards to list in a grant to a server: those held and those being released.
auto shardsToGrant(const holdings_state &state, const server_id &server, instant now)
        -> std::vector<shard_epoch>;

} // namespace parsleyloft
