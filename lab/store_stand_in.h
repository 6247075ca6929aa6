// A stand-in of the platform's metadata store that speaks its pages: items, ranges, watches,
// leases, conditional changes. Faults are set at run time.
#pragma once

#include "transport/http_server.h"

namespace parsleyloft {

struct store_faults
{
    // Answers 503 and does nothing.
    bool unavailable = false;
    // Does what it is told and closes the connection without an answer.
    bool dropResponses = false;
    // Leases run out as if nobody renewed them.
    bool expireLeases = false;
};

struct store_stand_in
{
    struct internals;
    std::shared_ptr<internals> impl;
};

auto startStore(worker_pool &pool, const endpoint &at) -> result<store_stand_in>;

auto setStoreFaults(store_stand_in &store, const store_faults &faults) -> void;

// Forgets its history: watches that wait are cut, older ones get 410.
auto compactHistory(store_stand_in &store) -> void;

// Writes as an operator or a server would, without a lease. An empty value deletes.
auto putItem(store_stand_in &store, const std::string &key, const std::string &value) -> void;

auto findItem(store_stand_in &store, const std::string &key) -> std::optional<std::string>;

// Calls so far by path, watches and refused calls included.
auto countCalls(store_stand_in &store, const std::string &path) -> std::uint64_t;

} // namespace parsleyloft
