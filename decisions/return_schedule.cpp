// When refused callers return to one server.
#include "decisions/return_schedule.h"

#include <algorithm>

namespace parsleyloft {

namespace {

constexpr duration interval = 50ms;
// Returns are given this share of the server's capacity; the rest is left to new requests.
constexpr double returnShare = 0.25;

auto intervalOf(instant time) -> std::int64_t
{
    return time.time_since_epoch() / interval;
}

auto startOf(std::int64_t index) -> instant
{
    return instant(index * interval);
}

auto workUpTo(const std::map<std::uint32_t, double> &planned, std::uint32_t level) -> double
{
    double work = 0;
    for (const auto &[other, amount] : planned) {
        if (other <= level)
            work += amount;
    }
    return work;
}

} // namespace

auto planReturn(return_schedule &schedule, const return_request &request, std::uint32_t slots,
                instant now) -> std::optional<instant>
{
    schedule.planned.erase(schedule.planned.begin(), schedule.planned.lower_bound(intervalOf(now)));
    const auto capacity = returnShare * static_cast<double>(interval.count()) * std::max(1U, slots);
    const auto work = static_cast<double>(request.work.count());
    // Work longer than an interval's share uses up the following ones too.
    double carried = 0;
    for (auto index = intervalOf(now); index <= intervalOf(request.latest); ++index) {
        const auto found = schedule.planned.find(index);
        if (found != schedule.planned.end())
            carried += workUpTo(found->second, request.level);
        const auto hasPlace = carried < capacity;
        if (hasPlace && startOf(index) >= request.earliest) {
            schedule.planned[index][request.level] += work;
            const auto offset = static_cast<double>(interval.count()) * carried / capacity;
            return std::min(startOf(index) + duration(static_cast<std::int64_t>(offset)),
                            request.latest);
        }
        carried = std::max(0.0, carried - capacity);
    }
    return std::nullopt;
}

auto plannedWork(const return_schedule &schedule, std::uint32_t level, instant now, instant until)
        -> double
{
    double work = 0;
    for (auto entry = schedule.planned.upper_bound(intervalOf(now));
         entry != schedule.planned.end() && startOf(entry->first) < until; ++entry) {
        if (level > 0)
            work += workUpTo(entry->second, level - 1);
    }
    return work;
}

} // namespace parsleyloft
