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

// Chooses one of the route's services by weight. The same seed gives the same service.
auto chooseService(const route &chosen, std::uint64_t seed) -> const service_name &;

} // namespace parsleyloft
