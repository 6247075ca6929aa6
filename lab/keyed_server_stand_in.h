// A stand-in for a backend server that implements the platform's server interface: requests with
// ids, grants and releases of keys, and refusals. It records the requests that it ran. Faults are
// set at run time.
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

// A time during which a server held keys under one fence. Each renewal begins another.
struct key_hold
{
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::uint64_t fence = 0;
    instant since{};
    // The end of the grant, of its renewal or of the keys' release, whichever came first.
    instant until{};
};

struct keyed_server_faults
{
    duration serviceTime = 1ms;
    // Runs the request, then closes the connection without a response.
    bool dropResponses = false;
    // Runs the request, then responds with the id of another request.
    bool wrongRequestId = false;
    // Rejects all requests and states that they were not run.
    bool rejectRequests = false;
    // Runs the request, then responds with status 500.
    bool failRequests = false;
    // States in all answers that the server leaves.
    bool leaving = false;
    // Rejects all requests and states for how many seconds it wants no further ones.
    std::optional<double> retryAfterSeconds;
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

// Starts listening and registers the server in the store.
auto startKeyedServer(worker_pool &pool, store_stand_in &store, const endpoint &address,
                      const keyed_server_options &options) -> result<keyed_server_stand_in>;

auto setServerFaults(keyed_server_stand_in &server, const keyed_server_faults &faults) -> void;

// Publishes in the store that the server is draining, or that it is ready.
auto publishServerState(keyed_server_stand_in &server, store_stand_in &store, bool draining)
        -> void;

// Writes an entry to the store, under the id of the options. Any writer may name any service and
// address there.
auto putServerEntry(store_stand_in &store, const keyed_server_options &options,
                    const endpoint &address, std::uint32_t sequence = 1, bool draining = false)
        -> void;

auto addressOf(const keyed_server_stand_in &server) -> endpoint;

// The requests that the server has run.
auto servedRequests(keyed_server_stand_in &server) -> std::vector<served_request>;

// All holds of keys so far, ended or not.
auto heldKeys(keyed_server_stand_in &server) -> std::vector<key_hold>;

// The number of keys that the server holds under unexpired grants.
auto countHeldKeys(keyed_server_stand_in &server) -> std::size_t;

// The number of requests that reached the server, run or rejected.
auto countArrivals(keyed_server_stand_in &server) -> std::size_t;

// The highest number of requests that ran at the same time.
auto peakConcurrency(keyed_server_stand_in &server) -> std::uint32_t;

} // namespace parsleyloft
