// Keeps the tables in line with the platform's store: configuration, servers, hosts, owners.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// Where the hosts keep what they share.
inline constexpr std::string_view livePrefix = "parsleyloft/live/";
inline constexpr std::string_view hostsPrefix = "parsleyloft/live/hosts/";
inline constexpr std::string_view leaderKey = "parsleyloft/live/leader";
inline constexpr std::string_view ownersPrefix = "parsleyloft/owners/";

// Makes the followers; nothing is read yet.
auto prepareSync(router_process &router) -> void;

auto beginSync(router_process &router) -> void;

// Takes in a table of owners, unless a newer one is known. Requests that waited for it go on.
auto adoptOwnership(router_process &router, ownership_table table, table_source source) -> void;

// Lets waiting requests look again whose time is over.
auto resumeExpired(router_process &router) -> void;

// Drops servers that stayed away after an outage of the store.
auto dropVanishedServers(router_process &router) -> void;

} // namespace parsleyloft
