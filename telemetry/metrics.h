// Counters and gauges of one process in Prometheus's text form, by prometheus-cpp.
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

// Labels are bounded: classes come from the configuration, outcomes and reasons from enums.
auto countRequest(metrics &counters, const std::string &className, const request_outcome &ended,
                  duration wait) -> void;
auto countExchange(metrics &counters, bool succeeded) -> void;
auto countStoreCall(metrics &counters, bool succeeded) -> void;
auto setLeading(metrics &counters, bool leading) -> void;

// All metrics as text for a scrape.
auto renderMetrics(const metrics &counters) -> std::string;

} // namespace parsleyloft
