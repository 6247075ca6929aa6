// The directory of backend servers: their announcements, and the failure domains that operators
// have taken out of service.
#pragma once

#include "core/site.h"

#include <optional>

namespace parsleyloft {

struct directory_entry
{
    server_record record;
    // When the record was received. The remaining cold time counts from then.
    instant receivedAt{};
    // Set when the entry disappeared during the grace period after a store outage. The server may
    // still announce itself again.
    std::optional<instant> missingSince;
};

// The last announcement of an incarnation that was removed.
struct removed_server
{
    std::int64_t startTimeMs = 0;
    std::uint64_t sequence = 0;
};

struct server_incarnation
{
    std::int64_t startTimeMs = 0;
    endpoint address;
    store_position position{};
};

// Invariant: an entry is never replaced by an earlier incarnation of its server, nor by an earlier
// announcement of the same incarnation. Within one era of the store, the later write is by the
// later incarnation. Across eras the later start time shows it.
struct server_directory
{
    std::map<server_id, directory_entry> entries;
    // Removed incarnations, by id.
    std::map<server_id, removed_server> removed;
    // Entries of removed incarnations that an older copy of the store lists again. Their servers
    // have left, unless the store still lists them after confirmationTime.
    std::map<server_id, directory_entry> unconfirmed;
    // The latest incarnation known for each id. Kept after an entry is removed, so that an ended
    // incarnation is never accepted again.
    std::map<server_id, server_incarnation> latestById;
    // The start times of the incarnations that a later one has replaced, by id.
    std::map<server_id, std::set<std::int64_t>> replacedStartsById;
    // The start times of the incarnations whose answers stated that they leave, by id. Kept after
    // an entry is removed: such an incarnation never becomes usable again, whatever its entry says.
    std::map<server_id, std::set<std::int64_t>> leavingStartsById;
    // The services that the configuration in force names. Empty while none is known.
    std::set<service_name> services;
    // Entries of services that the configuration in force does not name, by id. Any writer can make
    // one under any id, so it says nothing about the server of that id until a configuration names
    // its service.
    std::map<server_id, directory_entry> setAside;
    std::set<domain_id> evacuated;
    // Domains that were evacuated when the store came back from an older copy that does not list
    // them. The operator evacuates them again before the grace period ends.
    std::set<domain_id> unconfirmedEvacuations;
    // Missing entries are kept until then: their servers may announce themselves again.
    instant graceEnds{};
    // Missing evacuations are kept until then.
    instant evacuationGraceEnds{};
    // Rises with each change that affects dispatch or ownership.
    std::uint64_t version = 0;
};

// How long a removed incarnation must be listed before it counts as alive. The store removes the
// entry of a silent server sooner.
inline constexpr duration confirmationTime = 10s;

// True when an older copy of the store holds this entry: its incarnation has announced itself later
// or was removed.
auto isOutdated(const server_directory &directory, const server_record &record) -> bool;

// True when the configuration in force names the service of the entry, or a server of that service
// is known by the entry's id.
auto isServiceKnown(const server_directory &directory, const server_record &record) -> bool;

// Sets aside an entry of an unknown service. The store holds no other entry of its id, so the one
// known is removed as by recordServerRemoved. Returns whether it was removed.
auto setAsideEntry(server_directory &directory, const server_record &record, instant now) -> bool;

// Replaces the services in force, and records the entries that were set aside for the new ones.
// Returns whether there were any.
auto replaceServices(server_directory &directory, std::set<service_name> services) -> bool;

// Records an announcement. Returns whether anything but its age changed.
auto recordServer(server_directory &directory, const server_record &record, instant now) -> bool;

// Records that an incarnation of a server leaves, as its answers state. Returns whether that was
// not known before.
auto recordServerLeaving(server_directory &directory, const server_id &id, std::int64_t startTimeMs)
        -> bool;

// Removes an entry that is no longer in the store, or marks it as missing during the grace period.
// Returns whether it was removed.
auto recordServerRemoved(server_directory &directory, const server_id &id, instant now) -> bool;

// Removes all entries but those present, after a complete read of the store.
auto retainServers(server_directory &directory, const std::set<server_id> &present, instant now)
        -> bool;

// Starts the grace period after a store outage in which announcements may have expired.
auto startGracePeriod(server_directory &directory, duration grace, instant now) -> void;

// Starts the grace period for the evacuations too, after the store has come back from an older
// copy.
auto startEvacuationGrace(server_directory &directory, duration grace, instant now) -> void;

// Removes the missing entries and evacuations once the grace period has ended, and accepts removed
// servers that the store still lists.
auto dropMissing(server_directory &directory, instant now) -> bool;

// Records that an operator has evacuated a domain or has returned it to service.
auto setEvacuated(server_directory &directory, const domain_id &domain, bool evacuated) -> bool;

// Replaces the evacuated domains after a complete read of the store.
auto retainEvacuated(server_directory &directory, std::set<domain_id> listed, instant now) -> bool;

// True when new work may go to the server.
auto isUsable(const server_directory &directory, const directory_entry &entry) -> bool;

// The instant at which the server stops being cold.
auto coldUntil(const directory_entry &entry) -> instant;

// True when the server was restarted with the same id. Another entry with its address shows
// nothing: any writer can name an address, and the clocks that start times are taken from differ.
auto isSuperseded(const server_directory &directory, const server_id &id, std::int64_t startTimeMs)
        -> bool;

} // namespace parsleyloft
