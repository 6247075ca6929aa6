// When a request is expected to start at a server, and whether its answer will be in time.
#include "decisions/admission.h"

#include <algorithm>
#include <cmath>

namespace parsleyloft {

namespace {

// The margin is this many times the expected deviation of the time of the answer. A smaller one
// holds more requests that are refused later, a larger one refuses requests that would be in time.
constexpr double marginFactor = 0.6;

auto toCount(duration length) -> double
{
    return static_cast<double>(length.count());
}

} // namespace

auto expectedStart(const server_backlog &backlog) -> duration
{
    auto ends = backlog.running;
    ends.resize(std::max<std::size_t>(ends.size(), backlog.slots), 0us);
    std::sort(ends.begin(), ends.end());
    // Work beyond the slots, such as that of other hosts, occupies a slot until it ends.
    const auto excess = ends.size() - std::max<std::size_t>(1, backlog.slots);
    ends.erase(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(excess));
    const auto typical = std::max(1.0, toCount(backlog.typicalWork));
    // Each request before this one starts at the slot that is free first.
    auto left = backlog.workBefore;
    while (left > 0) {
        const auto next = std::min_element(ends.begin(), ends.end());
        *next += duration(static_cast<std::int64_t>(std::min(left, typical)));
        left -= typical;
    }
    return std::max(backlog.pause, *std::min_element(ends.begin(), ends.end()));
}

auto isSafelyInTime(const server_backlog &backlog, duration start, const admission_request &request)
        -> bool
{
    const auto work = toCount(request.work);
    const auto typical = std::max(1.0, toCount(backlog.typicalWork));
    // The start depends on about this many times of the server, each divided among the slots.
    const auto before = start > 0us ? 1 + backlog.workBefore / typical : 0;
    const auto startDeviation =
            request.deviation * typical * std::sqrt(before) / std::max(1U, backlog.slots);
    const auto deviation = std::hypot(startDeviation, request.deviation * work);
    const auto answered = toCount(start) + work + marginFactor * deviation;
    return answered <= toCount(request.targetLeft);
}

} // namespace parsleyloft
