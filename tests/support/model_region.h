// A region of hosts, servers and a key-value service under a clock moved by hand.
//
// The hosts run the product's own decisions. The model drops, delays, doubles and reorders
// their messages, pauses and restarts them, cuts links, and takes the key-value service
// away, all drawn from one seed. It notes which server holds which shard when, and every
// breach of the one-owner rule.
#pragma once

#include "decisions/candidacy.h"
#include "decisions/server_grant.h"

#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>

namespace parsleyloft::model {

// Rules that a run may break on purpose, to see that the check notices.
enum class broken_rule {
    None,
    // A new leader changes owners at once, without waiting for old leases to end.
    NoWaitBeforeChange,
    // A host goes on using its lease after its end.
    NeverStop,
    // A candidate leads without anybody's consent.
    NoConsent,
    // A restarted host votes under its old start number and without waiting.
    ConsentForgotten,
    // A host consents although it promised support to another.
    NoPromiseCheck,
    // A lapsed or released epoch is resumed.
    EpochResumed,
    // A grant is counted from its arrival at the server.
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
    // Length of the run with faults; a quiet time follows in which all must be served.
    duration faulty = 12s;
    duration quiet = 14s;
    // Prints what happens, for a seed that is looked into.
    bool trace = false;
};

struct run_result
{
    // The first breach, empty when there was none.
    std::string breach;
    // Shards that no server holds at the end of the quiet time.
    std::uint32_t unserved = 0;
    std::uint64_t ownerChanges = 0;
    std::uint64_t elections = 0;
    std::uint64_t grants = 0;
};

auto runRegion(const run_options &options) -> run_result;

} // namespace parsleyloft::model
