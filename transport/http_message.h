// HTTP requests and responses as plain structs, apart from the library that carries them.
#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace parsleyloft {

// Header names are compared without regard to case.
auto isSameHeader(std::string_view left, std::string_view right) -> bool;

struct header_field
{
    std::string name;
    std::string value;
};

// The headers of one message in their order, repeated ones included.
struct header_list
{
    std::vector<header_field> fields;

    // The value of the first header of that name, which is added when it is missing.
    auto operator[](std::string_view name) -> std::string &;
    auto begin() const { return fields.begin(); }
    auto end() const { return fields.end(); }
};

// Where a caller's connection stands while its request is served.
struct caller_connection
{
    std::mutex lock;
    // Both guarded by lock. The callback runs at most once, on a worker, without the lock.
    bool gone = false;
    std::function<void()> onGone;
};

using shared_caller_connection = std::shared_ptr<caller_connection>;

// Calls back when the caller closes its connection, at once when it has.
auto onCallerDisconnect(const shared_caller_connection &caller, std::function<void()> callback)
        -> void;

struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string body;
    // Set by a server for the requests that it receives, empty in those to be sent.
    shared_caller_connection caller;
};

struct http_response
{
    unsigned status = 200;
    header_list headers;
    std::string body;
    // The answer to a HEAD request: its Content-Length header describes a body that is not sent.
    bool headOnly = false;
    // Asks the caller to use another connection from now on.
    bool closeConnection = false;
    // Test stand-ins only: closes the connection after so many bytes of the body, or
    // before any byte when the status is 0.
    std::optional<std::size_t> truncateAfterBytes;
};

// The first header of that name, or nothing.
auto findHeader(const header_list &headers, std::string_view name) -> const std::string *;

// How many headers have that name.
auto countHeaders(const header_list &headers, std::string_view name) -> std::size_t;

auto addHeader(header_list &headers, std::string_view name, std::string value) -> void;

// The value of a header, or an empty string.
auto headerValue(const header_list &headers, std::string_view name) -> std::string;

// The value of a parameter in the target's query, or an empty string.
auto queryParameter(std::string_view target, std::string_view name) -> std::string;

// The target without its query.
auto targetPath(std::string_view target) -> std::string_view;

} // namespace parsleyloft
