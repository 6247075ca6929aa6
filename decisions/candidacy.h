// When a host stands as candidate, and by which way.
#pragma once

#include "decisions/exchange.h"

namespace parsleyloft {

enum class candidacy {
    None,
    // By consent of the members alone.
    ByBallot,
    // By a new generation in the key-value service: for a host that is no member, or
    // whose fellow members have all restarted.
    ByStore,
};

inline constexpr name_table<candidacy, 3> candidacyNames{{
        {candidacy::None, "none"},
        {candidacy::ByBallot, "by_ballot"},
        {candidacy::ByStore, "by_store"},
}};

// The way to take now. nextRecovery is the earliest time for another try by the store.
auto chooseCandidacy(const region_state &region, instant nextRecovery, instant now) -> candidacy;

// How long to wait between two tries by the store. Differs from host to host.
auto recoveryDelay(const region_state &region) -> duration;

// True when a record that is stored may be replaced: no leader was heard of for long, a
// majority of the member hosts answered lately, so that the attempt can succeed, and
// nobody else has replaced it since this host's last look.
auto mayReplaceRecord(region_state &region, const std::map<host_id, instant> &heard,
                      std::uint64_t storedIndex, instant now) -> bool;

} // namespace parsleyloft
