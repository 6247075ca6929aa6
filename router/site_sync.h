// Applies changes of the platform's store to the tables: configuration, servers, hosts, ownership.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// Keys under which the hosts store their shared state.
inline constexpr std::string_view livePrefix = "parsleyloft/live/";
inline constexpr std::string_view hostsPrefix = "parsleyloft/live/hosts/";
inline constexpr std::string_view leaderKey = "parsleyloft/live/leader";
inline constexpr std::string_view ownersPrefix = "parsleyloft/owners/";

// Creates the followers. Nothing is read yet.
auto prepareSync(router_process &router) -> void;

// Starts to follow the store, directly or through another host.
auto beginSync(router_process &router) -> void;

// Replaces a service's ownership table unless a newer one is known, and resumes the requests that
// wait for owners.
// Records that a server's answer stated that it leaves.
auto adoptLeavingServer(router_process &router, const server_id &server, std::int64_t startTimeMs)
        -> void;

auto adoptOwnership(router_process &router, ownership_table table, table_source source) -> void;

// Resumes the requests that have waited for an owner for as long as they may.
auto resumeExpiredRequests(router_process &router) -> void;

// Starts the time in which entries that an older copy of the store lacks are kept: operators,
// servers and hosts write them again.
auto startGracePeriods(router_process &router, duration grace) -> void;

// Ends the grace period that followed an outage of the store at this host if another host has kept
// up its view of the servers for so long that it covers the outage: then only this host was cut
// off, and no announcement has lapsed.
auto endGraceOfCutOffHost(router_process &router, duration unbroken) -> void;

// Removes servers, evacuations and hosts that were not written again after an outage of the store
// or its return from an older copy.
auto endGracePeriods(router_process &router) -> void;

} // namespace parsleyloft
