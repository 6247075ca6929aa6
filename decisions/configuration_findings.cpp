// Findings about a configuration before it is put in force.
#include "decisions/configuration_findings.h"

#include "decisions/route_table.h"

#include <algorithm>
#include <sstream>

namespace parsleyloft {

namespace {

auto inMilliseconds(duration time) -> std::string
{
    return std::to_string(toMilliseconds(time)) + " ms";
}

auto isMatchable(const route &checked) -> bool
{
    return checked.host.find(':') == std::string::npos
            && checked.prefix.find('?') == std::string::npos;
}

// Requests are matched by the host without its port and by the path without its query.
auto findUnmatchableNames(const route &checked, configuration_findings &findings) -> void
{
    if (checked.host.find(':') != std::string::npos)
        findings.push_back(
                {finding_kind::RouteNeverMatches, checked.name,
                 "hosts are matched without a port, and the host is '" + checked.host + "'"});
    if (checked.prefix.find('?') != std::string::npos)
        findings.push_back(
                {finding_kind::RouteNeverMatches, checked.name,
                 "paths are matched without a query, and the prefix is '" + checked.prefix + "'"});
}

// Of routes with the same host and prefix the last one gets all requests. Whether two are the same
// is left to the table of routes, which requests are matched by.
auto findHiddenRoutes(const site_configuration &configuration, configuration_findings &findings)
        -> void
{
    const auto table = makeRouteTable(configuration);
    const auto &routes = table->configuration.routes;
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const auto *matched = findRoute(*table, routes[index].host, routes[index].prefix);
        if (matched == &routes[index] || !isMatchable(routes[index]))
            continue;
        findings.push_back({finding_kind::RouteNeverMatches, routes[index].name,
                            "route '" + matched->name + "' at position "
                                    + std::to_string(matched - routes.data())
                                    + " has the same host and prefix and comes later"});
    }
}

auto checkLimitsOf(const route &checked, const host_bounds &bounds,
                   configuration_findings &findings) -> void
{
    if (checked.target > checked.timeout)
        findings.push_back({finding_kind::TargetAboveTimeout, checked.name,
                            "the target is " + inMilliseconds(checked.target) + ", the timeout "
                                    + inMilliseconds(checked.timeout)});
    const auto possible = checked.timeout / std::max(bounds.minAttemptTime, duration(1));
    if (checked.maxAttempts > std::max<std::int64_t>(possible, 1))
        findings.push_back({finding_kind::TooManyAttempts, checked.name,
                            std::to_string(checked.maxAttempts) + " attempts of at least "
                                    + inMilliseconds(bounds.minAttemptTime)
                                    + " do not fit into the timeout of "
                                    + inMilliseconds(checked.timeout)});
}

auto findUnusedServices(const site_configuration &configuration, configuration_findings &findings)
        -> void
{
    std::set<service_name> used;
    for (const auto &known : configuration.routes) {
        for (const auto &part : known.services)
            used.insert(part.service);
    }
    for (const auto &[name, settings] : configuration.services) {
        if (!used.contains(name))
            findings.push_back({finding_kind::ServiceUnused, name, "no route names the service"});
    }
}

// Collects the fields that differ, each with both values.
struct field_changes
{
    template<typename value>
    auto compare(std::string_view name, const value &before, const value &after) -> void
    {
        if (before != after)
            text << (text.tellp() > 0 ? ", " : "") << name << " " << before << " -> " << after;
    }

    std::ostringstream text;
};

auto yesOrNo(bool value) -> std::string
{
    return value ? "yes" : "no";
}

auto toText(const std::vector<weighted_service> &services) -> std::string
{
    std::ostringstream text;
    for (const auto &part : services)
        text << (text.tellp() > 0 ? "+" : "") << part.service << "*" << part.weight;
    return text.str();
}

auto describeChange(const route &before, const route &after) -> std::string
{
    field_changes changes;
    changes.compare("host", before.host, after.host);
    changes.compare("prefix", before.prefix, after.prefix);
    changes.compare("kind", nameIn(repeatabilityNames, before.kind),
                    nameIn(repeatabilityNames, after.kind));
    changes.compare("timeout", inMilliseconds(before.timeout), inMilliseconds(after.timeout));
    changes.compare("target", inMilliseconds(before.target), inMilliseconds(after.target));
    changes.compare("priority", before.priority, after.priority);
    changes.compare("max_attempts", before.maxAttempts, after.maxAttempts);
    changes.compare("services", toText(before.services), toText(after.services));
    changes.compare("anonymous", yesOrNo(before.anonymous), yesOrNo(after.anonymous));
    return changes.text.str();
}

auto describeChange(const service_settings &before, const service_settings &after) -> std::string
{
    field_changes changes;
    changes.compare("keyed", yesOrNo(before.keyed), yesOrNo(after.keyed));
    changes.compare("warmup", inMilliseconds(before.warmup), inMilliseconds(after.warmup));
    changes.compare("cold_per_s", before.coldPerSecond, after.coldPerSecond);
    changes.compare("max_connections", before.maxConnections, after.maxConnections);
    return changes.text.str();
}

// Keys appear in no output, so only the number of those that come and go is stated.
auto countMissing(const std::vector<std::string> &keys, const std::vector<std::string> &others)
        -> std::ptrdiff_t
{
    return std::count_if(keys.begin(), keys.end(), [&](const auto &key) {
        return std::find(others.begin(), others.end(), key) == others.end();
    });
}

auto toText(const std::optional<std::uint32_t> &priority) -> std::string
{
    return priority ? std::to_string(*priority) : "of the route";
}

auto describeChange(const client_account &before, const client_account &after) -> std::string
{
    field_changes changes;
    changes.compare("added keys", std::ptrdiff_t{0}, countMissing(after.keys, before.keys));
    changes.compare("withdrawn keys", std::ptrdiff_t{0}, countMissing(before.keys, after.keys));
    changes.compare("priority", toText(before.priority), toText(after.priority));
    changes.compare("rate_per_s", before.ratePerSecond, after.ratePerSecond);
    changes.compare("burst", before.burst, after.burst);
    return changes.text.str();
}

auto describeChange(const caller_limits &before, const caller_limits &after) -> std::string
{
    field_changes changes;
    changes.compare("max_header_bytes", before.maxHeaderBytes, after.maxHeaderBytes);
    changes.compare("max_body_bytes", before.maxBodyBytes, after.maxBodyBytes);
    changes.compare("header_timeout", inMilliseconds(before.headerTimeout),
                    inMilliseconds(after.headerTimeout));
    changes.compare("idle_timeout", inMilliseconds(before.idleTimeout),
                    inMilliseconds(after.idleTimeout));
    return changes.text.str();
}

auto routesByName(const site_configuration &configuration) -> std::map<std::string, route>
{
    std::map<std::string, route> routes;
    for (const auto &known : configuration.routes)
        routes.insert({known.name, known});
    return routes;
}

// The order of the keys means nothing.
auto accountsByName(const site_configuration &configuration)
        -> std::map<std::string, client_account>
{
    std::map<std::string, client_account> accounts;
    for (const auto &known : configuration.accounts) {
        auto &added = accounts.insert({known.name, known}).first->second;
        std::sort(added.keys.begin(), added.keys.end());
    }
    return accounts;
}

struct difference_kinds
{
    finding_kind added;
    finding_kind removed;
    finding_kind changed;
};

template<typename item>
auto compareByName(const std::map<std::string, item> &before,
                   const std::map<std::string, item> &after, const difference_kinds &kinds,
                   configuration_findings &findings) -> void
{
    for (const auto &[name, known] : before) {
        const auto kept = after.find(name);
        if (kept == after.end())
            findings.push_back({kinds.removed, name, "in force, and not in this version"});
        else if (!(kept->second == known))
            findings.push_back({kinds.changed, name, describeChange(known, kept->second)});
    }
    for (const auto &[name, added] : after) {
        if (!before.contains(name))
            findings.push_back({kinds.added, name, "not in force before"});
    }
}

} // namespace

auto findingsOfDefects(const std::vector<std::string> &defects) -> configuration_findings
{
    configuration_findings findings;
    for (const auto &defect : defects) {
        const auto colon = defect.find(": ");
        const auto path = colon == std::string::npos ? std::string() : defect.substr(0, colon);
        const auto detail = colon == std::string::npos ? defect : defect.substr(colon + 2);
        findings.push_back({finding_kind::Defect, path, detail});
    }
    return findings;
}

auto findingsOfRepeatedKeys(const std::vector<repeated_key> &repeated) -> configuration_findings
{
    configuration_findings findings;
    for (const auto &key : repeated)
        findings.push_back(
                {finding_kind::AccountKeyRepeated, key.later,
                 "a key of it is listed before and belongs to account '" + key.first + "'"});
    return findings;
}

auto findContradictions(const site_configuration &configuration, const host_bounds &bounds)
        -> configuration_findings
{
    configuration_findings findings;
    findHiddenRoutes(configuration, findings);
    for (const auto &checked : configuration.routes) {
        findUnmatchableNames(checked, findings);
        checkLimitsOf(checked, bounds, findings);
    }
    findUnusedServices(configuration, findings);
    const auto limit = configuration.limits.maxHeaderBytes;
    if (limit > bounds.maxHeaderBytes)
        findings.push_back({finding_kind::HeaderLimitTooHigh, "limits.max_header_bytes",
                            std::to_string(limit) + " are allowed, and hosts read at most "
                                    + std::to_string(bounds.maxHeaderBytes)});
    return findings;
}

auto findDifferences(const site_configuration &inForce, const site_configuration &next)
        -> configuration_findings
{
    configuration_findings findings;
    if (next.version <= inForce.version)
        findings.push_back({finding_kind::VersionNotHigher, "version",
                            std::to_string(next.version) + ", and "
                                    + std::to_string(inForce.version) + " is in force"});
    compareByName(
            routesByName(inForce), routesByName(next),
            {finding_kind::RouteAdded, finding_kind::RouteRemoved, finding_kind::RouteChanged},
            findings);
    compareByName(inForce.services, next.services,
                  {finding_kind::ServiceAdded, finding_kind::ServiceRemoved,
                   finding_kind::ServiceChanged},
                  findings);
    compareByName(accountsByName(inForce), accountsByName(next),
                  {finding_kind::AccountAdded, finding_kind::AccountRemoved,
                   finding_kind::AccountChanged},
                  findings);
    if (!(inForce.limits == next.limits))
        findings.push_back({finding_kind::LimitsChanged, "limits",
                            describeChange(inForce.limits, next.limits)});
    return findings;
}

} // namespace parsleyloft
