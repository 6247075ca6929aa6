// Counters and histograms of one routing host, by prometheus-cpp.
#pragma once

#include "core/time.h"
#include "decisions/key_ownership.h"
#include "decisions/permit_queue.h"

#include <memory>
#include <string>

namespace parsleyloft {

struct counters
{
    struct internals;
    std::shared_ptr<internals> inside;
};

auto makeCounters() -> counters;

// How a request of a caller ended. Labels are bounded: routes come from the configuration.
auto countEnd(counters &counted, const route_name &route, unsigned status, std::string_view why,
              duration took) -> void;
auto countAttempt(counters &counted, const service_name &service, permit_result ended) -> void;
auto countRefusal(counters &counted, const service_name &service, refusal why) -> void;
auto countStoreCall(counters &counted, std::string_view call, bool answered) -> void;
auto countOwnerChange(counters &counted, const service_name &service, double slices) -> void;
auto countOrder(counters &counted, order_kind kind, order_result ended) -> void;
auto countSpentRepeat(counters &counted, const service_name &service, bool allowed) -> void;
auto setLeads(counters &counted, bool leads) -> void;

// All of them as text for a scrape.
auto renderCounters(const counters &counted) -> std::string;

} // namespace parsleyloft
