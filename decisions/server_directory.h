// The backend servers that may be used, by what they announced and what operators took out.
#pragma once

#include "core/site.h"

#include <optional>

namespace parsleyloft {

struct directory_entry
{
    server_record record;
    // When the record was heard, for what is left of the cold time.
    instant heardAt{};
    // Set while an entry that vanished in an outage of the store may still come back.
    std::optional<instant> vanishedAt;
};

// Invariant: an entry's life never goes back to an earlier one.
struct server_directory
{
    std::map<server_id, directory_entry> entries;
    // The latest life heard of by id and by address. Stays when an entry goes, so that a dead
    // life is never taken for a living one again.
    std::map<server_id, std::int64_t> latestLife;
    std::map<endpoint, std::int64_t> latestLifeAt;
    std::set<domain_id> evacuated;
    // Until then a vanished entry is kept: its server may announce itself again.
    instant graceEnds{};
    // Rises with each change that matters to dispatch or ownership.
    std::uint64_t version = 0;
};

// Takes in an announcement. Returns whether anything but its age changed.
auto recordServer(server_directory &directory, const server_record &record, instant now) -> bool;

// Takes in that an entry is no longer there.
auto recordServerRemoved(server_directory &directory, const server_id &id, instant now) -> bool;

// After a whole read: everything that is not among the ids is gone.
auto retainServers(server_directory &directory, const std::set<server_id> &present, instant now)
        -> bool;

// The store is back after an outage in which announcements may have lapsed.
auto startGracePeriod(server_directory &directory, duration grace, instant now) -> void;

// Drops the entries whose grace has ended.
auto dropMissing(server_directory &directory, instant now) -> bool;

auto setEvacuated(server_directory &directory, std::set<domain_id> domains) -> bool;

// True when new work may go to the server.
auto isUsable(const server_directory &directory, const directory_entry &entry) -> bool;

// When the server stops being cold.
auto coldUntil(const directory_entry &entry) -> instant;

// True when a later life has taken the place of this one: the same id was born again, or
// another server announced itself at the same address.
auto isSuperseded(const server_directory &directory, const server_id &id, std::int64_t startTimeMs,
                  const endpoint &address) -> bool;

} // namespace parsleyloft
