// This host's lease at the platform's store, its announcement to the other hosts, and the election
// of the leader: the host that has written the leader's key under its lease.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// How often renewLease is called.
inline constexpr duration renewalRound = 700ms;

// Acquires the lease, renews it when that is due, and announces this host under it.
auto renewLease(router_process &router) -> void;

// Gives up a lease of an older era and opens another one at once if this host may have to lead. The
// old one is not ended: its id may stand for the lease of another host.
auto abandonLease(router_process &router, store_era era) -> void;

// The longest that a host can go on leading after its last renewal.
auto candidateLeaseLength() -> duration;

// Writes the leader's key if it is free and it is this host's turn to claim it.
auto claimLeadership(router_process &router) -> void;

// True while this host leads and its lease cannot have ended at the store.
auto isLeading(router_process &router) -> bool;

// The position of the leader's key while this host leads. A leader's writes are conditional on it.
auto leadershipRevision(router_process &router) -> std::optional<store_position>;

// Ends the lease, so that other hosts take over at once.
auto releaseLease(router_process &router) -> void;

} // namespace parsleyloft
