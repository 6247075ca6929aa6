// What operators state: classes of work with targets, and what is out of service.
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
    // Longest wait of a caller.
    duration maxWait = 0ms;
    bool mayRepeat = false;
    // Largest share of requests that may be refused, in thousandths.
    std::uint32_t maxRefusedPermille = 0;

    auto operator==(const class_of_work &) const -> bool = default;
};

// Invariant: a higher revision replaces a lower one, never the reverse.
struct configuration
{
    std::uint64_t revision = 0;
    std::map<class_name, class_of_work> classes;
    std::set<domain_id> evacuatedDomains;
    std::set<std::string> evacuatedHosts;

    auto operator==(const configuration &) const -> bool = default;
};

} // namespace parsleyloft
