// Operators' changes: checked, applied to a revision, and taken over in rising order only.
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
    bool out = false;
};

struct set_host
{
    std::string host;
    bool out = false;
};

using configuration_change = std::variant<set_class, remove_class, set_domain, set_host>;

// Applies a change. Fails with Conflict when expected is given and isn't the current
// revision, and with InvalidInput or NotFound when the change makes no sense.
auto applyChange(const configuration &current, const configuration_change &change,
                 std::optional<std::uint64_t> expected, const std::vector<service_info> &services)
        -> result<configuration>;

// Takes a configuration that was stored. Returns true when it was newer.
auto replaceIfNewer(configuration &current, const configuration &stored) -> bool;

} // namespace parsleyloft
