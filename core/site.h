// Core types of a site: the operators' configuration of routes, services and limits, and the
// announcements of backend servers and hosts.
#pragma once

#include "core/endpoint.h"
#include "core/identifiers.h"
#include "core/names.h"
#include "core/store_position.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace parsleyloft {

using route_name = std::string;

// The key of a request. A keyed service divides the range 0 to lastKey among its servers.
using key_number = std::uint32_t;
inline constexpr key_number lastKey = 65535;

enum class repeatability : std::uint8_t {
    // A request may run any number of times.
    Idempotent,
    // A request runs at most once.
    AtMostOnce,
};

inline constexpr name_table<repeatability, 2> repeatabilityNames{{
        {repeatability::Idempotent, "idempotent"},
        {repeatability::AtMostOnce, "at_most_once"},
}};

struct weighted_service
{
    service_name service;
    double weight = 1;

    auto operator==(const weighted_service &) const -> bool = default;
};

// Invariant: the weights of the services are positive. A route whose configuration names no valid
// service has none, and its requests are refused.
struct route
{
    route_name name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    repeatability kind = repeatability::AtMostOnce;
    // The longest time that a caller waits for an answer.
    duration timeout = 0us;
    // The time within which a request should be answered.
    duration target = 0us;
    // Lower is more urgent.
    std::uint32_t priority = 0;
    // The number of servers that one request may be sent to.
    std::uint32_t maxAttempts = 1;
    std::vector<weighted_service> services;
    // True when requests need no key of an account.
    bool anonymous = false;

    auto operator==(const route &) const -> bool = default;
};

struct service_settings
{
    service_name name;
    // True when each key has one owning server.
    bool keyed = false;
    // How long a server is cold after its start, and the requests a second that it can handle while
    // it is cold.
    duration warmup = 0us;
    double coldPerSecond = 0;
    std::uint32_t maxConnections = 0;

    auto operator==(const service_settings &) const -> bool = default;
};

struct caller_limits
{
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    duration headerTimeout = 0us;
    duration idleTimeout = 0us;

    auto operator==(const caller_limits &) const -> bool = default;
};

using account_name = std::string;

// A client account. Its callers are known by their keys.
// Invariant: the name is not empty and can be sent in a header. No key is empty.
struct client_account
{
    account_name name;
    std::vector<std::string> keys;
    // Replaces the priority of the route, if set.
    std::optional<std::uint32_t> priority;
    // The quota: requests a second on average, and requests at once beyond that. A rate of 0 means
    // that there is none.
    double ratePerSecond = 0;
    double burst = 0;

    auto operator==(const client_account &) const -> bool = default;
};

// A key that is listed more than once. It belongs to the first account.
struct repeated_key
{
    account_name first;
    account_name later;

    auto operator==(const repeated_key &) const -> bool = default;
};

enum class account_mode : std::uint8_t {
    // The configuration has no accounts. Requests need no keys.
    Absent,
    // Requests need the key of a listed account, except on anonymous routes.
    Listed,
    // The configuration has accounts, but their list cannot be decoded and none was in force.
    Unreadable,
};

inline constexpr name_table<account_mode, 3> accountModeNames{{
        {account_mode::Absent, "absent"},
        {account_mode::Listed, "listed"},
        {account_mode::Unreadable, "unreadable"},
}};

// Invariant: a configuration is only replaced by one with a higher version.
struct site_configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<service_name, service_settings> services;
    caller_limits limits;
    account_mode accountMode = account_mode::Absent;
    // Names are unique, and each key belongs to one account.
    std::vector<client_account> accounts;
};

// The announcement of one incarnation of a backend server.
struct server_record
{
    server_id id;
    service_name service;
    endpoint address;
    domain_id domain;
    std::uint32_t slots = 1;
    bool draining = false;
    // The remaining cold time when the record was written.
    duration warmupLeft = 0us;
    // The start time of this incarnation in Unix milliseconds, by its machine's clock. A later
    // incarnation with the same id has a higher one, unless the clock was set back.
    std::int64_t startTimeMs = 0;
    // Rises with each announcement of an incarnation.
    std::uint64_t sequence = 0;
    // Where the store holds the record. Revision 0 when that is not known.
    store_position position{};

    auto operator==(const server_record &) const -> bool = default;
};

// The announcement of a host to the other hosts.
struct member_host
{
    host_id id;
    domain_id domain;
    std::string peerAddress;
    // The host's share of a processor, above 0.
    double processorShare = 1;

    auto operator==(const member_host &) const -> bool = default;
};

} // namespace parsleyloft
