// The memory that a host may hold for callers and servers together.
#include "decisions/memory_budget.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// Progress is measured over one to two periods. A caller with a poor link pauses for a second.
constexpr duration progressPeriod = 2s;
// A body younger than this counts as this old, so that the first bytes give a finite rate.
constexpr duration minAge = 50ms;
// A body that has received nothing for this long stands still. Whatever it received before, it
// is evicted for one that is arriving: otherwise a burst would keep its memory for the whole of the
// period.
constexpr duration standstill = 250ms;
// Bodies up to this size may use all of the shared limit, larger ones leave a part of it to them,
// so that many large bodies that do arrive leave room for ordinary requests.
constexpr std::size_t smallBodyBytes = std::size_t(64) * 1024;
constexpr std::size_t smallBodiesDivisor = 8;
// Part of the shared limit that other holders keep while one body exceeds the limit.
constexpr std::size_t othersDivisor = 4;
// An eviction frees this part of the shared limit in addition, so that a flood of small bodies does
// not look for a victim at each of its segments.
constexpr std::size_t headroomDivisor = 32;

auto periodOf(instant now) -> std::int64_t
{
    return toMicroseconds(now) / progressPeriod.count();
}

auto recordProgress(memory_holder &holder, std::size_t bytes, instant now) -> void
{
    const auto period = periodOf(now);
    if (period != holder.period) {
        holder.earlierProgress = period == holder.period + 1 ? holder.currentProgress : 0;
        holder.currentProgress = 0;
        holder.period = period;
    }
    holder.currentProgress += bytes;
    holder.lastProgress = now;
}

// What the decision about one holder depends on.
struct budget_load
{
    std::size_t held = 0;
    // Bytes of the holder that requests more.
    std::size_t own = 0;
    std::optional<holder_number> largeBody;
    std::size_t largeBytes = 0;
};

auto loadFor(const memory_budget &budget, std::optional<holder_number> number) -> budget_load
{
    const auto bytesOf = [&](std::optional<holder_number> holder) -> std::size_t {
        const auto found = holder ? budget.holders.find(*holder) : budget.holders.end();
        return found == budget.holders.end() ? 0 : found->second.bytes;
    };
    return {budget.heldBytes, bytesOf(number), budget.largeBody, bytesOf(budget.largeBody)};
}

// Bytes that must be freed before the holder may take more, and whether that can suffice.
struct shortage
{
    std::size_t bytes = 0;
    bool curable = true;
    // The holder exceeds the shared limit as the large body.
    bool large = false;
};

auto excess(std::size_t bytes, std::size_t limit) -> std::size_t
{
    return bytes > limit ? bytes - limit : 0;
}

auto shortageOf(const memory_limits &limits, const budget_load &load,
                std::optional<holder_number> number, std::size_t bytes) -> shortage
{
    const auto left = number && load.own + bytes > smallBodyBytes
            ? limits.shared / smallBodiesDivisor
            : std::size_t(0);
    const auto beyondShared = excess(load.held + bytes, limits.shared - left);
    if (beyondShared == 0)
        return {};
    const auto othersLimit = limits.shared / othersDivisor;
    const auto becomesLarge = !load.largeBody && load.own + bytes > limits.shared / 2;
    if (number && (number == load.largeBody || becomesLarge))
        return {std::min(excess(load.held - load.own, othersLimit), beyondShared),
                load.own + bytes <= limits.single, true};
    if (load.largeBody)
        return {std::min(excess(load.held - load.largeBytes + bytes, othersLimit), beyondShared)};
    return {beyondShared};
}

struct candidate
{
    holder_number number = 0;
    std::size_t bytes = 0;
    bool standsStill = false;
    double progress = 0;
};

// The bodies with less progress, the first ones to evict at the front. Of two that stand still, the
// larger one is evicted first.
auto slowerBodies(const memory_budget &budget, std::optional<holder_number> except, double progress,
                  instant now) -> std::vector<candidate>
{
    std::vector<candidate> slower;
    for (const auto &[number, holder] : budget.holders) {
        if (holder.kind != holder_kind::ReceivedBody || holder.bytes == 0 || number == except)
            continue;
        const auto own = progressOf(holder, now);
        const auto standsStill = now - holder.lastProgress >= standstill;
        if (standsStill || own < progress)
            slower.push_back({number, holder.bytes, standsStill, own});
    }
    std::sort(slower.begin(), slower.end(), [](const auto &left, const auto &right) {
        if (left.standsStill != right.standsStill)
            return left.standsStill;
        return left.progress != right.progress ? left.progress < right.progress
                                               : left.bytes > right.bytes;
    });
    return slower;
}

// Evicts bodies until the bytes fit, or nobody if they never would. Evicting the large body ends
// its privilege, so the shortage is determined again after each.
auto evictFor(memory_budget &budget, std::optional<holder_number> number, std::size_t bytes,
              double progress, instant now) -> memory_admission
{
    memory_admission admission;
    const auto headroom = budget.limits.shared / headroomDivisor;
    auto load = loadFor(budget, number);
    std::size_t freed = 0;
    auto missing = shortageOf(budget.limits, load, number, bytes);
    for (const auto &slow : slowerBodies(budget, number, progress, now)) {
        if (!missing.curable || (missing.bytes == 0 && freed >= headroom))
            break;
        admission.evicted.push_back(slow.number);
        freed += slow.bytes;
        load.held -= slow.bytes;
        if (slow.number == load.largeBody)
            load.largeBody.reset();
        missing = shortageOf(budget.limits, load, number, bytes);
    }
    admission.admitted = missing.curable && missing.bytes == 0;
    if (!admission.admitted)
        admission.evicted.clear();
    for (const auto evicted : admission.evicted)
        removeHolder(budget, evicted);
    return admission;
}

} // namespace

auto progressOf(const memory_holder &holder, instant now) -> double
{
    const auto period = periodOf(now);
    std::size_t bytes = 0;
    if (period == holder.period)
        bytes = holder.currentProgress + holder.earlierProgress;
    else if (period == holder.period + 1)
        bytes = holder.currentProgress;
    const auto inPeriod = duration(toMicroseconds(now) % progressPeriod.count());
    const auto age = std::max<duration>(now - holder.since, minAge);
    const auto measured = std::min<duration>(age, progressPeriod + inPeriod);
    return static_cast<double>(bytes) * 1e6 / static_cast<double>(measured.count());
}

auto addHolder(memory_budget &budget, holder_kind kind, instant now) -> holder_number
{
    memory_holder holder;
    holder.kind = kind;
    holder.since = now;
    holder.lastProgress = now;
    holder.period = periodOf(now);
    budget.holders[++budget.lastNumber] = holder;
    return budget.lastNumber;
}

auto growHolder(memory_budget &budget, holder_number number, std::size_t bytes, instant now)
        -> memory_admission
{
    const auto found = budget.holders.find(number);
    if (found == budget.holders.end())
        return {};
    recordProgress(found->second, bytes, now);
    const auto progress = progressOf(found->second, now);
    const auto missing = shortageOf(budget.limits, loadFor(budget, number), number, bytes);
    memory_admission admission{missing.curable && missing.bytes == 0, {}};
    if (!admission.admitted)
        admission = evictFor(budget, number, bytes, progress, now);
    if (!admission.admitted)
        return admission;
    if (shortageOf(budget.limits, loadFor(budget, number), number, bytes).large)
        budget.largeBody = number;
    forceHolder(budget, number, bytes);
    return admission;
}

auto forceHolder(memory_budget &budget, holder_number number, std::size_t bytes) -> void
{
    const auto found = budget.holders.find(number);
    if (found == budget.holders.end())
        return;
    found->second.bytes += bytes;
    budget.heldBytes += bytes;
}

auto makeRoom(memory_budget &budget, std::size_t bytes, instant now) -> memory_admission
{
    if (shortageOf(budget.limits, loadFor(budget, std::nullopt), std::nullopt, bytes).bytes == 0)
        return {true, {}};
    // A response can be passed on in small parts instead, so only bodies that stand still are
    // evicted.
    return evictFor(budget, std::nullopt, bytes, 0, now);
}

auto completeBody(memory_budget &budget, holder_number number) -> bool
{
    const auto found = budget.holders.find(number);
    if (found == budget.holders.end())
        return false;
    found->second.kind = holder_kind::Request;
    return true;
}

auto removeHolder(memory_budget &budget, holder_number number) -> void
{
    const auto found = budget.holders.find(number);
    if (found == budget.holders.end())
        return;
    budget.heldBytes -= found->second.bytes;
    budget.holders.erase(found);
    if (budget.largeBody == number)
        budget.largeBody.reset();
}

auto maySendBody(std::size_t bytesUnderWay, std::size_t bodyBytes, std::size_t limit) -> bool
{
    return bytesUnderWay == 0 || bytesUnderWay + bodyBytes <= limit;
}

} // namespace parsleyloft
