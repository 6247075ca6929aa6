// When a host becomes candidate, and whether by ballot or by a new generation in the store.
#pragma once

#include "decisions/exchange.h"

namespace parsleyloft {

enum class candidacy {
    None,
    // Only the consent of the members is needed.
    ByBallot,
    // With a new generation from the key-value service: for a host that is no member, or when
    // the other members have all restarted.
    ByStore,
};

inline constexpr name_table<candidacy, 3> candidacyNames{{
        {candidacy::None, "none"},
        {candidacy::ByBallot, "by_ballot"},
        {candidacy::ByStore, "by_store"},
}};

// The candidacy to start now, if any. No candidacy ByStore starts before nextRecovery.
auto chooseCandidacy(const region_state &region, instant nextRecovery, instant now) -> candidacy;

// The delay between two candidacies ByStore. Differs from host to host.
auto recoveryDelay(const region_state &region) -> duration;

// True when the stored record may be replaced: no leader has been in contact for the recovery
// timeout, a majority of the member hosts answered within it, so that the candidacy can succeed,
// and the record is unchanged since this host last read it.
auto mayReplaceRecord(region_state &region, const std::map<host_id, instant> &lastContacts,
                      std::uint64_t storedIndex, instant now) -> bool;

} // namespace parsleyloft
