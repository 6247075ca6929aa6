// Tests of the route table: routes by host and longest prefix, services by weight.
#include "decisions/route_table.h"

#include "core/hash.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct table_with_two_routes
{
    table_with_two_routes()
    {
        site_configuration configuration;
        configuration.version = 3;
        configuration.routes = {makeRoute("short", "/a/", {{"one", 1}}),
                                makeRoute("long", "/a/b/", {{"two", 90}, {"three", 10}})};
        table = makeRouteTable(std::move(configuration));
    }

    static auto makeRoute(const std::string &name, const std::string &prefix,
                          std::vector<weighted_service> services) -> route
    {
        route made;
        made.name = name;
        made.host = "shop.example";
        made.prefix = prefix;
        made.services = std::move(services);
        return made;
    }

    auto findRouteName(std::string_view host, std::string_view path) const -> std::string
    {
        const auto *found = findRoute(*table, host, path);
        return found == nullptr ? "none" : found->name;
    }

    shared_routes table;
};

} // namespace

TEST_CASE_METHOD(table_with_two_routes,
                 "configuration_names_the_services_of_its_routes_and_its_own", "[route_table]")
{
    auto configuration = table->configuration;
    configuration.services["four"].name = "four";
    CHECK(namedServices(configuration) == std::set<service_name>{"one", "two", "three", "four"});
}

TEST_CASE_METHOD(table_with_two_routes, "path_under_two_prefixes_takes_the_longer_one",
                 "[route_table]")
{
    CHECK(findRouteName("shop.example", "/a/b/c") == "long");
    CHECK(findRouteName("shop.example", "/a/bc") == "short");
    CHECK(findRouteName("shop.example", "/a/") == "short");
}

TEST_CASE_METHOD(table_with_two_routes, "host_with_port_and_other_case_takes_the_same_route",
                 "[route_table]")
{
    CHECK(findRouteName("Shop.Example:8080", "/a/x") == "short");
}

TEST_CASE_METHOD(table_with_two_routes, "query_with_slashes_does_not_choose_the_route",
                 "[route_table]")
{
    CHECK(findRouteName("shop.example", "/a/x?from=/a/b/") == "short");
}

TEST_CASE_METHOD(table_with_two_routes, "path_or_host_without_route_finds_none", "[route_table]")
{
    CHECK(findRouteName("shop.example", "/b/") == "none");
    CHECK(findRouteName("shop.example", "") == "none");
    CHECK(findRouteName("other.example", "/a/") == "none");
}

TEST_CASE_METHOD(table_with_two_routes, "split_by_weight_gives_each_service_its_share",
                 "[route_table]")
{
    const auto *split = findRoute(*table, "shop.example", "/a/b/");
    REQUIRE(split != nullptr);
    int minor = 0;
    constexpr int requests = 10'000;
    for (int index = 0; index < requests; ++index)
        minor += chooseService(*split, stableHash("r" + std::to_string(index))) == "three" ? 1 : 0;
    // The operators allow a deviation of a tenth of all requests from the share of a weight.
    CHECK(std::abs(minor / double(requests) - 0.1) < 0.02);
}

} // namespace parsleyloft
