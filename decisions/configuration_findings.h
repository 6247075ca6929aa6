// Findings about a configuration of the operators before it is put in force: entries that can never
// match, limits that contradict each other, and differences from the version in force.
#pragma once

#include "core/names.h"
#include "core/site.h"

#include <string>
#include <vector>

namespace parsleyloft {

enum class finding_kind : std::uint8_t {
    // A malformed or unknown part, as the decoder reports it.
    Defect,
    // No request reaches the route.
    RouteNeverMatches,
    // No route names the service.
    ServiceUnused,
    // The account lists a key that is listed before.
    AccountKeyRepeated,
    // A request can end before its target does.
    TargetAboveTimeout,
    // The attempts do not fit into the timeout.
    TooManyAttempts,
    // Hosts refuse headers that the limit allows.
    HeaderLimitTooHigh,
    // Hosts ignore a version that is not higher than the one in force.
    VersionNotHigher,
    RouteAdded,
    RouteRemoved,
    RouteChanged,
    ServiceAdded,
    ServiceRemoved,
    ServiceChanged,
    LimitsChanged,
    AccountAdded,
    AccountRemoved,
    AccountChanged,
};

inline constexpr name_table<finding_kind, 18> findingKindNames{{
        {finding_kind::Defect, "defect"},
        {finding_kind::RouteNeverMatches, "route_never_matches"},
        {finding_kind::ServiceUnused, "service_unused"},
        {finding_kind::AccountKeyRepeated, "account_key_repeated"},
        {finding_kind::TargetAboveTimeout, "target_above_timeout"},
        {finding_kind::TooManyAttempts, "too_many_attempts"},
        {finding_kind::HeaderLimitTooHigh, "header_limit_too_high"},
        {finding_kind::VersionNotHigher, "version_not_higher"},
        {finding_kind::RouteAdded, "route_added"},
        {finding_kind::RouteRemoved, "route_removed"},
        {finding_kind::RouteChanged, "route_changed"},
        {finding_kind::ServiceAdded, "service_added"},
        {finding_kind::ServiceRemoved, "service_removed"},
        {finding_kind::ServiceChanged, "service_changed"},
        {finding_kind::LimitsChanged, "limits_changed"},
        {finding_kind::AccountAdded, "account_added"},
        {finding_kind::AccountRemoved, "account_removed"},
        {finding_kind::AccountChanged, "account_changed"},
}};

struct configuration_finding
{
    finding_kind kind = finding_kind::Defect;
    // The name of the route, service or account, or the field.
    std::string subject;
    std::string detail;

    auto operator==(const configuration_finding &) const -> bool = default;
};

using configuration_findings = std::vector<configuration_finding>;

// What the hosts bound whatever the configuration says.
struct host_bounds
{
    // The most bytes of headers that a host reads.
    std::size_t maxHeaderBytes = 0;
    // An attempt takes at least this long.
    duration minAttemptTime = 0us;
};

// The decoder's messages, which begin with the path of the item and a colon.
auto findingsOfDefects(const std::vector<std::string> &defects) -> configuration_findings;

// What is wrong with the configuration by itself.
auto findContradictions(const site_configuration &configuration, const host_bounds &bounds)
        -> configuration_findings;

// A finding names no key: keys appear in no output.
auto findingsOfRepeatedKeys(const std::vector<repeated_key> &repeated) -> configuration_findings;

// How the configuration differs from the one in force. Routes, services and accounts are compared
// by name.
auto findDifferences(const site_configuration &inForce, const site_configuration &next)
        -> configuration_findings;

} // namespace parsleyloft
