// Which connections of callers are closed when a host has as many as its descriptors allow.
//
// The load: callers outside the operators' control that open connections and leave them idle, or
// send a few bytes of a request now and then.
#pragma once

#include "core/names.h"
#include "core/time.h"

#include <cstdint>
#include <vector>

namespace parsleyloft {

enum class connection_use : std::uint8_t {
    // No byte of the next request has been received.
    Idle,
    // A part of a request has been received.
    Reading,
    // A request was read completely and is being answered. It is not closed.
    Serving,
};

inline constexpr name_table<connection_use, 3> connectionUseNames{{
        {connection_use::Idle, "idle"},
        {connection_use::Reading, "reading"},
        {connection_use::Serving, "serving"},
}};

struct connection_report
{
    connection_use use = connection_use::Idle;
    // When bytes were last received, or the connection was accepted.
    instant lastProgress{};
};

// Positions of up to `count` connections to close: idle ones first, then those whose request has
// made no progress for the longest time.
auto connectionsToClose(const std::vector<connection_report> &connections, std::size_t count)
        -> std::vector<std::size_t>;

// How many connections callers may have on a host with these resources. 0: no bound, for a host
// whose resources are not stated.
auto defaultConnectionLimit(std::size_t maxDescriptors, std::size_t memoryBytes) -> std::size_t;

} // namespace parsleyloft
