// One connection of a server of the soak: a blocking socket, from which requests are read in parts
// and to which answers are written byte by byte.
#pragma once

#include "core/time.h"
#include "transport/http_message.h"

namespace parsleyloft {

struct server_connection
{
    // -1 once the connection is closed.
    int socket = -1;
    // Bytes that no request has taken yet.
    std::string received;
    // What was written last on the connection, for copies of it.
    std::string lastAnswer;
    std::string lastRefusal;
    // Written before the next answer.
    std::string lateCopy;
};

// Waits for bytes. Returns false at the time limit. Also true once the caller has closed the
// connection.
auto awaitBytes(const server_connection &connection, duration limit) -> bool;

// Reads a request without its body. Nothing if the connection ends before.
auto readRequestHead(server_connection &connection) -> std::optional<http_request>;

// Reads the body that follows the head, by its length or in chunks. Returns false if the connection
// ends before.
auto readRequestBody(server_connection &connection, http_request &request) -> bool;

// Returns false if the connection is closed.
auto sendBytes(server_connection &connection, std::string_view bytes) -> bool;

auto closeConnection(server_connection &connection) -> void;

// Ends the connection with a reset, which also discards what was not sent yet.
auto resetConnection(server_connection &connection) -> void;

} // namespace parsleyloft
