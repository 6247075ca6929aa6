// The pauses that backend servers have requested from this host: a server that turns a request away
// may state for how long it accepts no further ones from the same host.
#pragma once

#include "core/identifiers.h"
#include "core/time.h"

#include <map>
#include <vector>

namespace parsleyloft {

struct server_pause
{
    // The incarnation that requested the pause. A later one is not bound by it.
    std::int64_t startTimeMs = 0;
    instant until{};
};

// Invariant: holds at most one pause for each server, the one that ends last.
struct server_pauses
{
    std::map<server_id, server_pause> byServer;
};

// Records a pause. Pauses that are over are removed, so the size is bounded by the pauses in force.
auto recordPause(server_pauses &pauses, const server_id &server, std::int64_t startTimeMs,
                 duration length, instant now) -> void;

// How long this incarnation of the server still accepts no request, or 0.
auto remainingPause(const server_pauses &pauses, const server_id &server, std::int64_t startTimeMs,
                    instant now) -> duration;

// The servers whose pauses are in force.
auto pausedServers(const server_pauses &pauses, instant now) -> std::vector<server_id>;

} // namespace parsleyloft
