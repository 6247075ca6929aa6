// Changes of the configuration by operators: validated, applied to a revision, and adopted in the
// order of revisions only.
#pragma once

#include "core/configuration.h"
#include "decisions/planner.h"

#include <optional>
#include <variant>

namespace parsleyloft {

struct set_class
{
    class_of_work work;
};

struct remove_class
{
    class_name name;
};

struct set_domain
{
    domain_id domain;
    bool outOfService = false;
};

struct set_host
{
    std::string host;
    bool outOfService = false;
};

using configuration_change = std::variant<set_class, remove_class, set_domain, set_host>;

// Applies a change. Fails with Conflict when expected is set and isn't the current revision, with
// InvalidInput when the change is invalid, and with NotFound when there is no such class.
auto applyChange(const configuration &current, const configuration_change &change,
                 std::optional<std::uint64_t> expected, const std::vector<service_info> &services)
        -> result<configuration>;

// Replaces the configuration by a stored one if that is newer. Returns true when it was.
auto replaceIfNewer(configuration &current, const configuration &stored) -> bool;

} // namespace parsleyloft
