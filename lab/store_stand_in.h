// A stand-in for the platform's metadata store that implements its interface: items, ranges,
// watches, leases and conditional changes. Faults are set at run time.
#pragma once

#include "transport/http_server.h"

#include <limits>

namespace parsleyloft {

struct store_faults
{
    // Responds to all requests with 503 without executing them.
    bool unavailable = false;
    // Executes requests other than watches, then closes the connection without a response.
    bool dropResponses = false;
    // Expires all leases, as if they had not been renewed.
    bool expireLeases = false;
    // Leases do not expire.
    bool pauseLeases = false;
    // Carries out requests whose target begins with one of these and never answers them. Of watches
    // only the answers that bring changes are lost.
    std::vector<std::string> loseAnswersTo{};
    // The number of answers that are lost. Later ones are sent.
    std::uint32_t loseAtMost = std::numeric_limits<std::uint32_t>::max();
    // The share of these answers that is lost, drawn with the seed.
    double lossShare = 1;
    std::uint32_t lossSeed = 0;
};

struct store_stand_in
{
    struct internals;
    std::shared_ptr<internals> impl;
};

// What the store held at some moment.
struct store_copy
{
    struct contents;
    std::shared_ptr<const contents> impl;
};

auto startStore(worker_pool &pool, const endpoint &address) -> result<store_stand_in>;

auto setStoreFaults(store_stand_in &store, const store_faults &faults) -> void;

// Discards the event history. Waiting watches, and later ones from an older revision, get 410.
auto compactHistory(store_stand_in &store) -> void;

auto copyStore(store_stand_in &store) -> store_copy;

// Returns the store to a copy, in the next era. Changes since the copy are lost, and their
// revisions and lease ids are given out again. Leases of the copy have the time left that they had
// then. The event history is discarded, and waiting watches are cut off.
auto restoreStore(store_stand_in &store, const store_copy &copy) -> void;

// Writes an item without a lease, as an operator or a server would. An empty value deletes it.
auto putItem(store_stand_in &store, const std::string &key, const std::string &value) -> void;

auto findItem(store_stand_in &store, const std::string &key) -> std::optional<std::string>;

// The number of answers lost so far.
auto countLostAnswers(store_stand_in &store) -> std::uint64_t;

// The number of requests to a path so far, including watches and rejected requests.
auto countCalls(store_stand_in &store, const std::string &path) -> std::uint64_t;

} // namespace parsleyloft
