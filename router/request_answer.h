// Answers a caller once, and logs and counts how its request ended.
#pragma once

#include "router/flow_state.h"

namespace parsleyloft {

enum class request_result : std::uint8_t {
    Answered,
    NoConfiguration,
    BadRequest,
    NoRoute,
    // The configuration names no valid service for the route.
    RouteUnusable,
    NoServer,
    NoOwner,
    Overloaded,
    ServerRefused,
    ServerLost,
    ServerTimedOut,
    BudgetSpent,
    CallerGone,
    // This host stops before the request would be answered.
    Stopping,
    // The request was started ahead of others, and its route has become one that must not run
    // twice.
    RouteChanged,
    // The configuration in force does not have the request's key.
    UnknownKey,
    // The configuration's accounts cannot be decoded.
    AccountsUnreadable,
    // Keys may have been withdrawn by a version that this host has not received.
    AccountsOutdated,
    BeyondQuota,
    // The quota host of the account did not answer, nor the one after it.
    NoQuotaHost,
    // This host had no memory for the body.
    MemoryShort,
};

inline constexpr name_table<request_result, 21> requestResultNames{{
        {request_result::Answered, "answered"},
        {request_result::NoConfiguration, "no_configuration"},
        {request_result::BadRequest, "bad_request"},
        {request_result::NoRoute, "no_route"},
        {request_result::RouteUnusable, "route_unusable"},
        {request_result::NoServer, "no_server"},
        {request_result::NoOwner, "no_owner"},
        {request_result::Overloaded, "overloaded"},
        {request_result::ServerRefused, "server_refused"},
        {request_result::ServerLost, "server_lost"},
        {request_result::ServerTimedOut, "server_timed_out"},
        {request_result::BudgetSpent, "budget_spent"},
        {request_result::CallerGone, "caller_gone"},
        {request_result::Stopping, "stopping"},
        {request_result::RouteChanged, "route_changed"},
        {request_result::UnknownKey, "unknown_key"},
        {request_result::AccountsUnreadable, "accounts_unreadable"},
        {request_result::AccountsOutdated, "accounts_outdated"},
        {request_result::BeyondQuota, "beyond_quota"},
        {request_result::NoQuotaHost, "no_quota_host"},
        {request_result::MemoryShort, "memory_short"},
}};

// True once the caller has been answered.
auto isFinished(request_flow &flow) -> bool;

// Answers the caller, unless it has been answered.
auto answerCaller(const shared_flow &flow, http_response response, request_result result) -> void;

} // namespace parsleyloft
