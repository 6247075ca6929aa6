// A stand-in of a backend server that speaks the platform's pages: requests by id, grants and
// releases of keys, refusals, and faults that are set at run time. It keeps what it ran.
#pragma once

#include "lab/store_stand_in.h"

namespace parsleyloft {

struct served_request
{
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    header_list headers;
};

struct keyed_server_faults
{
    duration serviceTime = 1ms;
    // Runs the request and closes the connection without an answer.
    bool dropResponses = false;
    // Sends an answer to another request first.
    bool wrongRequestId = false;
    // Refuses all requests with its word that they did not run.
    bool rejectRequests = false;
    // Runs the request and fails.
    bool failRequests = false;
};

struct keyed_server_stand_in
{
    struct internals;
    std::shared_ptr<internals> impl;
};

struct keyed_server_options
{
    std::string id;
    std::string service;
    std::string domain;
    std::uint32_t slots = 3;
    bool keyed = false;
    std::int64_t startTimeMs = 1000;
};

// Listens, and announces itself in the store.
auto startKeyedServer(worker_pool &pool, store_stand_in &store, const endpoint &at,
                      const keyed_server_options &options) -> result<keyed_server_stand_in>;

auto setServerFaults(keyed_server_stand_in &server, const keyed_server_faults &faults) -> void;

// Announces that it is leaving, or that it is back.
auto publishServerState(keyed_server_stand_in &server, store_stand_in &store, bool draining)
        -> void;

// Everything that it ran.
auto servedRequests(keyed_server_stand_in &server) -> std::vector<served_request>;

// How many keys it holds now, and the highest number of requests it ran at a time.
auto countHeldKeys(keyed_server_stand_in &server) -> std::size_t;
auto peakConcurrency(keyed_server_stand_in &server) -> std::uint32_t;

} // namespace parsleyloft
