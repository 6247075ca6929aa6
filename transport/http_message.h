// HTTP requests and responses as plain structs, independent of the HTTP library.
#pragma once

#include "core/endpoint.h"
#include "transport/received_body.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace parsleyloft {

// Compares header names case-insensitively.
auto isSameHeader(std::string_view left, std::string_view right) -> bool;

struct header_field
{
    std::string name;
    std::string value;
};

// The headers of one message in order, including repeated ones.
struct header_list
{
    std::vector<header_field> fields;

    // Returns the value of the first header with this name. Adds the header if it is missing.
    auto operator[](std::string_view name) -> std::string &;
    auto begin() const { return fields.begin(); }
    auto end() const { return fields.end(); }
};

// State of a caller's connection while one of its requests is being served.
struct caller_connection
{
    std::mutex lock;
    // Both guarded by lock. The callback runs at most once, on a worker, without holding the lock.
    bool disconnected = false;
    std::function<void()> onDisconnect;
};

using shared_caller_connection = std::shared_ptr<caller_connection>;

// Registers a callback for when the caller closes its connection. Runs it immediately if the
// connection is already closed.
auto onCallerDisconnect(const shared_caller_connection &caller, std::function<void()> callback)
        -> void;

struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string body;
    // The body instead of the text above, if the server has a memory budget.
    shared_body received;
    // Set by the server for received requests. Empty for requests to be sent.
    shared_caller_connection caller;
    // The body, or a part of the headers, was not received. Such a request must be refused.
    bool incomplete = false;
    // Earlier requests of the connection are not answered yet. The caller may count this one as not
    // read, so it must be refused if it must not run twice.
    bool overlaps = false;
    // Incomplete because the host had no memory for the body. What had arrived has been released.
    bool evicted = false;
};

// A part of a body that is passed on while the rest is still being received.
struct body_part
{
    std::string bytes;
    // True when no more bytes follow.
    bool last = false;
    // True when the body broke off. What was received before must not look complete.
    bool failed = false;
};

using body_part_callback = std::function<void(body_part)>;

// The part of a response's body that has not been received yet. Destroying it closes the connection
// that it comes from.
struct body_stream
{
    // Size of the whole body, including the part received before. Empty when it is not known.
    std::optional<std::uint64_t> totalBytes;
    // Receives the next part. Called again only after the callback, which runs on any worker. Bytes
    // that are not requested stay in the network, so a slow receiver slows down the sender.
    std::function<void(body_part_callback)> read;
};

struct http_response
{
    unsigned status = 200;
    header_list headers;
    std::string body;
    // The rest of the body, if only its beginning is in `body`.
    std::shared_ptr<body_stream> rest;
    // Counts the body against its client's memory limit for as long as the response exists.
    std::shared_ptr<void> reservation;
    // True for the response to a HEAD request: Content-Length describes a body that is not sent.
    bool headOnly = false;
    // Sends "Connection: close" and closes the connection after this response.
    bool closeConnection = false;
    // For test stand-ins only: closes the connection after this many bytes of the body, or without
    // sending anything if the status is 0.
    std::optional<std::size_t> truncateAfterBytes;
};

auto bodySize(const http_request &request) -> std::size_t;

// Returns the value of the first header with this name, or null.
auto findHeader(const header_list &headers, std::string_view name) -> const std::string *;

auto countHeaders(const header_list &headers, std::string_view name) -> std::size_t;

auto addHeader(header_list &headers, std::string_view name, std::string value) -> void;

// Returns the value of the first header with this name, or an empty string.
auto headerValue(const header_list &headers, std::string_view name) -> std::string;

// Returns the value of a query parameter of the request target, or an empty string.
auto queryParameter(std::string_view target, std::string_view name) -> std::string;

// Returns the request target without its query.
auto targetPath(std::string_view target) -> std::string_view;

} // namespace parsleyloft
