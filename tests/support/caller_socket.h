// A plain socket of a caller, on which every step has a time limit.
#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <memory>

namespace parsleyloft {

struct caller_socket
{
    explicit caller_socket(int connected);
    ~caller_socket();
    caller_socket(const caller_socket &) = delete;
    auto operator=(const caller_socket &) -> caller_socket & = delete;

    int handle = -1;
    // Received bytes that no answer has taken yet.
    std::string received;
};

enum class send_end : std::uint8_t {
    Sent,
    // The peer sent bytes first, and the rest was not sent.
    Answered,
    Failed,
};

enum class receive_end : std::uint8_t {
    Data,
    Closed,
    Reset,
    Late,
};

// Null if no connection is established in time.
auto connectTo(const endpoint &address, instant until) -> std::unique_ptr<caller_socket>;

// Sends all bytes, or those before the peer's first ones if asked to stop at them.
auto sendBytes(caller_socket &socket, std::string_view bytes, instant until, bool stopsAtAnswer)
        -> send_end;

// Waits for bytes and appends them to those received.
auto receiveMore(caller_socket &socket, instant until) -> receive_end;

// Closes the sending side.
auto closeSending(caller_socket &socket) -> void;

// Makes the close of the connection a reset.
auto resetAtClose(caller_socket &socket) -> void;

} // namespace parsleyloft
