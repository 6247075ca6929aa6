// Metrics of one process in the Prometheus text format. Built on prometheus-cpp.
#pragma once

#include "core/outcome.h"
#include "core/time.h"

#include <memory>
#include <string>

namespace parsleyloft {

struct metrics
{
    struct internals;
    std::shared_ptr<internals> impl;
};

auto makeMetrics() -> metrics;

// The number of label values is bounded: class names come from the configuration, outcomes and
// reasons from enums.
auto countRequest(metrics &counters, const std::string &className, const request_outcome &completed,
                  duration wait) -> void;
auto countExchange(metrics &counters, bool succeeded) -> void;
auto countStoreCall(metrics &counters, bool succeeded) -> void;
auto setLeading(metrics &counters, bool leading) -> void;

// Returns all metrics in the Prometheus text format.
auto renderMetrics(const metrics &counters) -> std::string;

} // namespace parsleyloft
