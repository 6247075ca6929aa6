// A model of a region with hosts, servers and a key-value service under simulated time.
//
// The hosts run the product's decisions. The model drops, delays, duplicates and reorders their
// messages, pauses and restarts hosts, cuts links, and makes the key-value service unavailable. All
// faults derive from one seed. The model tracks which server holds which shard at what time, and
// reports every breach of the one-owner rule.
#pragma once

#include "decisions/candidacy.h"
#include "decisions/server_grant.h"

#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>

namespace parsleyloft::model {

// Rules that a run breaks on purpose, to test that the check detects it.
enum class broken_rule {
    None,
    // A new leader changes owners at once, without waiting for earlier leases to end.
    NoWaitBeforeChange,
    // A host uses its lease after its end.
    NeverStop,
    // A candidate becomes leader without any consent.
    NoConsent,
    // A restarted host consents under its old start number and without waiting.
    ConsentForgotten,
    // A host consents although its promise to another host has not ended.
    NoPromiseCheck,
    // A host resumes an epoch that it released or whose lease ended.
    EpochResumed,
    // The length of a grant counts from its arrival at the server.
    GrantFromArrival,
};

inline constexpr name_table<broken_rule, 8> brokenRuleNames{{
        {broken_rule::None, "none"},
        {broken_rule::NoWaitBeforeChange, "no_wait_before_change"},
        {broken_rule::NeverStop, "never_stop"},
        {broken_rule::NoConsent, "no_consent"},
        {broken_rule::ConsentForgotten, "consent_forgotten"},
        {broken_rule::NoPromiseCheck, "no_promise_check"},
        {broken_rule::EpochResumed, "epoch_resumed"},
        {broken_rule::GrantFromArrival, "grant_from_arrival"},
}};

struct run_options
{
    std::uint64_t seed = 1;
    broken_rule broken = broken_rule::None;
    // The length of the run with faults, and of the time without faults after it. By the end of
    // that, every shard must be served.
    duration withFaults = 12s;
    duration withoutFaults = 14s;
    // Prints every event, to analyse one seed.
    bool trace = false;
};

struct run_result
{
    // The first breach, empty when there was none.
    std::string breach;
    // Shards that no server holds at the end of the run.
    std::uint32_t unserved = 0;
    std::uint64_t ownerChanges = 0;
    std::uint64_t elections = 0;
    std::uint64_t grants = 0;
};

auto runRegion(const run_options &options) -> run_result;

} // namespace parsleyloft::model
