// The table of routes: finds the route of a request by host and longest path prefix, and chooses a
// service of the route by weight.
#pragma once

#include "core/site.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace parsleyloft {

struct route_table
{
    site_configuration configuration;
    // Indexes of routes, by the concatenation of host and prefix.
    std::unordered_map<std::string, std::size_t> byHostAndPrefix;
    // Indexes of accounts, by key.
    std::unordered_map<std::string, std::size_t> accountByKey;
};

// Immutable, so that a request uses the same table from start to end.
using shared_routes = std::shared_ptr<const route_table>;

auto makeRouteTable(site_configuration configuration) -> shared_routes;

// The services that the configuration names, with settings of their own or in a route.
auto namedServices(const site_configuration &configuration) -> std::set<service_name>;

// The route of the host with the longest matching prefix of the path, or null. The host may include
// a port and the path a query.
auto findRoute(const route_table &table, std::string_view host, std::string_view path)
        -> const route *;

enum class account_decision : std::uint8_t {
    // The request needs no key.
    Open,
    // The request belongs to the account.
    Known,
    // The configuration in force has no such key.
    Unauthorized,
    // It is not known which keys the configuration has.
    Undecided,
};

inline constexpr name_table<account_decision, 4> accountDecisionNames{{
        {account_decision::Open, "open"},
        {account_decision::Known, "known"},
        {account_decision::Unauthorized, "unauthorized"},
        {account_decision::Undecided, "undecided"},
}};

struct caller_account
{
    account_decision decision = account_decision::Open;
    // Set only when the account is known.
    const client_account *account = nullptr;
};

// The account of a request to the route. The key is empty when the request has none.
auto findCallerAccount(const route_table &table, const route &matched, const std::string &key)
        -> caller_account;

// Chooses one of the route's services by weight. The same seed gives the same service.
auto chooseService(const route &chosen, std::uint64_t seed) -> const service_name &;

} // namespace parsleyloft
