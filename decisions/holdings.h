// What one host holds: its lease, the groups it may send to, and what it released.
//
// An epoch that was released, or whose lease lapsed, is never resumed: the leader has
// to give a higher one. So a table that is out of date can't bring back a holding that
// another host or server has had since.
#pragma once

#include "core/limits.h"
#include "decisions/assignment.h"

#include <set>

namespace parsleyloft {

struct holdings_state
{
    lease_limits limits;
    host_id self;
    // Invariant: no entry's epoch ever falls. A new leader may not know the newest yet.
    assignment_table table;
    // Invariant: every grant that this host gave to a server ends by then.
    instant leaseEnds{};
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

// Takes a leader's table when it is newer, but for entries that this host knows under a
// higher epoch. Returns true when it was taken.
//
// Epochs of earlier terms are only continued, never begun: a new leader may not have heard
// yet that another host has had the holding since. So an entry of an earlier term that this
// host did not hold before is released, as is all that the first table gives to it: that
// went to its former process.
auto applyTable(holdings_state &state, const assignment_table &table) -> bool;

// A leader's word that a host's lease goes on.
struct lease_renewal
{
    term leaderTerm;
    // When this host asked.
    instant sentAt{};
    // Age of the confirmation of the leader's licence when it answered.
    duration confirmationAge{};
};

// Extends the lease. Without a valid lease before, holdings of other terms are released:
// their lease may have ended, and been given to others, without this host's knowledge.
auto renewLease(holdings_state &state, const lease_renewal &word, instant now) -> void;

// Releases every holding whose lease has ended. Called before each use.
auto releaseIfLeaseEnded(holdings_state &state, instant now) -> void;

// True when this host may send to the servers of the group.
auto mayUseGroup(const holdings_state &state, const group_id &group, instant now) -> bool;

// True when this host may send work for the shard to its owner.
auto mayUseShard(const holdings_state &state, const shard_id &shard, instant now) -> bool;

// True while the holding's work is still ending: no new work, grants go on.
auto isReleasingGroup(const holdings_state &state, const group_id &group, instant now) -> bool;
auto isReleasingShard(const holdings_state &state, const shard_id &shard, instant now) -> bool;

auto releaseGroup(holdings_state &state, const group_id &group) -> void;
auto releaseShard(holdings_state &state, const shard_id &shard) -> void;

// Releases every shard that a server owns, when its grants are known to have ended.
auto releaseServer(holdings_state &state, const server_id &server) -> void;

// Releases that the leader has not yet answered with a higher epoch.
auto pendingGroupReleases(const holdings_state &state) -> std::vector<group_epoch>;
auto pendingShardReleases(const holdings_state &state) -> std::vector<shard_epoch>;

// The shards to name in a grant to a server: those held and those still ending.
auto shardsToGrant(const holdings_state &state, const server_id &server, instant now)
        -> std::vector<shard_epoch>;

} // namespace parsleyloft
