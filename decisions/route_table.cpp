// The table of routes: lookup by host and path prefix, choice of service by weight.
#include "decisions/route_table.h"

#include <algorithm>
#include <cctype>

namespace parsleyloft {

namespace {

auto toLowerCase(std::string_view text) -> std::string
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

} // namespace

auto makeRouteTable(site_configuration configuration) -> shared_routes
{
    auto table = std::make_shared<route_table>();
    table->configuration = std::move(configuration);
    const auto &routes = table->configuration.routes;
    for (std::size_t index = 0; index < routes.size(); ++index)
        table->byHostAndPrefix[toLowerCase(routes[index].host) + routes[index].prefix] = index;
    const auto &accounts = table->configuration.accounts;
    for (std::size_t index = 0; index < accounts.size(); ++index) {
        for (const auto &key : accounts[index].keys)
            table->accountByKey.try_emplace(key, index);
    }
    return table;
}

auto findCallerAccount(const route_table &table, const route &matched, const std::string &key)
        -> caller_account
{
    const auto mode = table.configuration.accountMode;
    if (mode == account_mode::Absent || matched.anonymous)
        return {};
    if (mode == account_mode::Unreadable)
        return {account_decision::Undecided, nullptr};
    const auto found = table.accountByKey.find(key);
    if (found == table.accountByKey.end())
        return {account_decision::Unauthorized, nullptr};
    return {account_decision::Known, &table.configuration.accounts[found->second]};
}

auto namedServices(const site_configuration &configuration) -> std::set<service_name>
{
    std::set<service_name> names;
    for (const auto &[name, settings] : configuration.services)
        names.insert(name);
    for (const auto &named : configuration.routes) {
        for (const auto &part : named.services)
            names.insert(part.service);
    }
    return names;
}

auto findRoute(const route_table &table, std::string_view host, std::string_view path)
        -> const route *
{
    const auto name = toLowerCase(host.substr(0, host.find(':')));
    path = path.substr(0, path.find('?'));
    // Prefixes end with a slash, so only the path up to one of its slashes can match.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found =
                table.byHostAndPrefix.find(name + std::string(path.substr(0, slash + 1)));
        if (found != table.byHostAndPrefix.end())
            return &table.configuration.routes[found->second];
    }
    return nullptr;
}

auto chooseService(const route &chosen, std::uint64_t seed) -> const service_name &
{
    double total = 0;
    for (const auto &part : chosen.services)
        total += part.weight;
    constexpr double seedCount = 18446744073709551616.0;
    auto remaining = static_cast<double>(seed) / seedCount * total;
    for (const auto &part : chosen.services) {
        if (remaining < part.weight)
            return part.service;
        remaining -= part.weight;
    }
    return chosen.services.back().service;
}

} // namespace parsleyloft
