// A server whose answers are given byte by byte, for answers that no correct server sends.
#pragma once

#include "core/endpoint.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace parsleyloft {

// One connection that the raw server has accepted.
struct raw_connection
{
    int socket = -1;
    // Unlike the socket, no other connection has the same number.
    int number = 0;
    // The bytes of the last request, up to the end of its headers.
    std::string request;
};

// Returns false once the caller has closed the connection, or the server stops.
using raw_handler = std::function<bool(raw_connection &)>;

struct raw_server
{
    // Accepts connections on the port and calls the handler for each request, on a thread for each
    // connection. Port 0: any free one.
    explicit raw_server(raw_handler onRequest, std::uint16_t port = 0);
    ~raw_server();
    raw_server(const raw_server &) = delete;
    auto operator=(const raw_server &) -> raw_server & = delete;

    raw_handler handler;
    endpoint address;
    int listener = -1;
    std::atomic<bool> stopping = false;
    std::atomic<int> connections = 0;
    std::atomic<int> openConnections = 0;
    std::thread acceptor;
};

// Sends all bytes. Returns false if the peer has closed the connection.
auto sendAll(raw_connection &connection, const std::string &bytes) -> bool;

// The value of a header of the request, or an empty string.
auto rawHeader(const raw_connection &connection, const std::string &name) -> std::string;

// Ends the connection with a reset instead of an orderly close.
auto resetRaw(raw_connection &connection) -> void;

} // namespace parsleyloft
