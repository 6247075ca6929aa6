// A loopback proxy in front of one address, which disturbs the connections through it. It belongs
// to neither side: what it does is what a network may do.
#pragma once

#include "core/endpoint.h"
#include "core/error.h"
#include "core/names.h"
#include "transport/worker_pool.h"

namespace parsleyloft {

enum class link_state : std::uint8_t {
    Open,
    // Bytes of both directions arrive later, and so do the ends of connections.
    Delayed,
    // Nothing passes in one direction, the ends of connections included, until the link is open or
    // delayed again. What was held back arrives then. New connections are accepted, and reach the
    // server only then if the direction to it is silent.
    SilentToServer,
    SilentToClient,
    // All connections are reset, and new ones too.
    Reset,
    // Silent in both directions.
    Cut,
};

inline constexpr name_table<link_state, 6> linkStateNames{{
        {link_state::Open, "open"},
        {link_state::Delayed, "delayed"},
        {link_state::SilentToServer, "silent_to_server"},
        {link_state::SilentToClient, "silent_to_client"},
        {link_state::Reset, "reset"},
        {link_state::Cut, "cut"},
}};

// Each direction of a connection holds back a few parts of 16 KB at most. Beyond them the proxy
// reads no further, so that the sender is slowed down by its own socket.
struct link_proxy
{
    struct internals;
    std::shared_ptr<internals> impl;
};

// Listens on the first address and forwards to the second.
auto startProxy(worker_pool &pool, const endpoint &address, const endpoint &target)
        -> result<link_proxy>;

// Takes effect on a worker, soon after the call. The delay applies to the state Delayed.
auto setLink(link_proxy &proxy, link_state state, duration delay = 0us) -> void;

} // namespace parsleyloft
