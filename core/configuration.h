// The operators' configuration: classes of work with their targets, and what is out of service.
#pragma once

#include "core/error.h"
#include "core/identifiers.h"
#include "core/time.h"

#include <map>
#include <set>

namespace parsleyloft {

struct class_of_work
{
    class_name name;
    service_name service;
    // The longest time that a caller waits for an answer.
    duration maxWait = 0ms;
    // True when a request may be run more than once.
    bool mayRepeat = false;
    // The largest share of requests that may be refused, in thousandths.
    std::uint32_t maxRefusedPermille = 0;

    auto operator==(const class_of_work &) const -> bool = default;
};

// Invariant: a configuration is only replaced by one with a higher revision.
struct configuration
{
    std::uint64_t revision = 0;
    std::map<class_name, class_of_work> classes;
    std::set<domain_id> evacuatedDomains;
    // Hosts and backend servers taken out of service, by id.
    std::set<std::string> evacuatedHosts;

    auto operator==(const configuration &) const -> bool = default;
};

} // namespace parsleyloft
