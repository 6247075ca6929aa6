// One server in a permit queue: free slots, expected latencies, and their statistics.
#include "decisions/permit_server.h"

#include <algorithm>
#include <cmath>

namespace parsleyloft {

namespace {

// Expected latency of a route before its first answer: a usual service time of the users' routes.
constexpr duration initialLatency = 100ms;
// Weights of a new sample. Noise from neighbours lasts a few samples and must not dominate the
// smoothed values for long.
constexpr double latencyWeight = 0.1;
constexpr double slownessWeight = 0.25;
// Work times vary by more than half of their mean. A larger weight makes the estimate follow single
// answers.
constexpr double paceWeight = 0.1;
// A change of the mean deviation shows after some fifty answers.
constexpr double deviationWeight = 0.02;
constexpr double failureWeight = 0.15;
// A slow server that receives no requests is tried again once its slowness has decayed.
constexpr duration slownessHalfLife = 3s;
constexpr double minSlowness = 0.2;
constexpr double maxSlowness = 20;
constexpr duration shedPause = 60ms;
// A server that is full may reset the connection instead of refusing the request. It does so at
// once, while a connection that is lost during the work ends later.
constexpr duration fullResetLatency = 20ms;
constexpr duration minUnreachablePause = 200ms;
constexpr duration maxUnreachablePause = 3s;
constexpr std::uint32_t maxPauseDoublings = 4;
// Load and noise change many times a second; older reports are useless.
constexpr duration maxReportAge = 300ms;
// While hosts join and leave, up to three of them may act as a group's queue host within a
// second. Together they stay below the bound of 1.5 times the rate plus 5 requests.
constexpr double coldShare = 0.75;

auto countRecentColdStarts(const permit_server &server, instant now) -> std::size_t
{
    const auto recent = std::count_if(server.coldStarts.begin(), server.coldStarts.end(),
                                      [now](instant start) { return now - start < coldWindow; });
    return static_cast<std::size_t>(recent);
}

auto recordLatency(latency_statistics &latencies, permit_server &server, const route_name &route,
                   duration latency, instant now) -> void
{
    auto &smoothed = latencies.smoothedLatency.try_emplace(route, latency).first->second;
    const auto ratio = static_cast<double>(latency.count())
            / std::max<double>(1, static_cast<double>(smoothed.count()));
    const auto current = currentSlowness(server, now);
    server.slowness =
            std::clamp(current + slownessWeight * (ratio - current), minSlowness, maxSlowness);
    server.slownessUpdatedAt = now;
    const auto difference = std::abs(ratio - server.pace) / server.pace;
    latencies.deviation += deviationWeight * (std::min(difference, 3.0) - latencies.deviation);
    server.pace =
            std::clamp(server.pace + paceWeight * (ratio - server.pace), minSlowness, maxSlowness);
    recordPace(latencies.paces[server.id], ratio, now);
    smoothed += scaleDuration(latency - smoothed, latencyWeight);
    latencies.meanLatency += scaleDuration(latency - latencies.meanLatency, latencyWeight);
}

auto recordFailure(permit_server &server, bool failed) -> void
{
    server.failures += failureWeight * ((failed ? 1.0 : 0.0) - server.failures);
}

auto avoid(permit_server &server, instant now) -> void
{
    const auto doublings = std::min(server.consecutivePauses, maxPauseDoublings);
    const auto pause = std::min(minUnreachablePause * (1 << doublings), maxUnreachablePause);
    server.pausedUntil = std::max(server.pausedUntil, now + pause);
    ++server.consecutivePauses;
}

auto recordLoad(permit_server &server, const load_report &load, instant now) -> void
{
    const auto reported = load.running + load.waiting;
    server.externalWork = reported > server.running ? reported - server.running : 0;
    server.externalWorkUntil = now + maxReportAge;
    server.noise = std::max(1.0, load.noise);
    server.noiseUntil = now + maxReportAge;
}

// A server that states free slots refuses for another reason, and may take the next request.
auto isFull(const permit_return &returned, std::uint32_t slots) -> bool
{
    return !returned.load || returned.load->running + returned.load->waiting >= slots;
}

} // namespace

auto scaleDuration(duration length, double factor) -> duration
{
    return duration(static_cast<std::int64_t>(static_cast<double>(length.count()) * factor));
}

auto currentSlowness(const permit_server &server, instant now) -> double
{
    const auto age = std::chrono::duration<double>(now - server.slownessUpdatedAt).count();
    const auto halfLife = std::chrono::duration<double>(slownessHalfLife).count();
    const auto decay = std::exp2(-std::max(age, 0.0) / halfLife);
    // Only slowness above 1 decays; a server faster than the others keeps its value.
    return server.slowness > 1 ? 1 + (server.slowness - 1) * decay : server.slowness;
}

auto latencyOfRoute(const latency_statistics &latencies, const route_name &route) -> duration
{
    const auto found = latencies.smoothedLatency.find(route);
    return found == latencies.smoothedLatency.end() ? initialLatency : found->second;
}

auto expectedLatency(const latency_statistics &latencies, const permit_server &server,
                     const route_name &route, instant now) -> duration
{
    auto factor = currentSlowness(server, now);
    if (now < server.noiseUntil)
        factor *= std::sqrt(server.noise);
    return scaleDuration(latencyOfRoute(latencies, route), factor);
}

auto expectedWork(const latency_statistics &latencies, const permit_server &server,
                  const route_name &route, instant now) -> duration
{
    const auto noise = now < server.noiseUntil ? std::sqrt(server.noise) : 1;
    return scaleDuration(latencyOfRoute(latencies, route), server.pace * noise);
}

auto isCold(const permit_server &server, instant now) -> bool
{
    return now < server.coldUntil;
}

auto coldRate(const permit_server &server) -> double
{
    return std::max(1.0, std::floor(server.coldPerSecond * coldShare));
}

auto hasRoom(const permit_server &server, instant now) -> bool
{
    if (!server.usable || now < server.pausedUntil)
        return false;
    const auto foreign = now < server.externalWorkUntil ? server.externalWork : 0;
    return server.running + foreign < server.slots;
}

auto isColdRateSpent(const permit_server &server, instant now) -> bool
{
    return isCold(server, now)
            && static_cast<double>(countRecentColdStarts(server, now)) >= coldRate(server);
}

auto coldDelay(const permit_server &server, double requestsBefore, instant now) -> duration
{
    if (!isColdRateSpent(server, now))
        return 0us;
    const auto first = server.coldStarts.front() + coldWindow - now;
    const auto others = requestsBefore * std::chrono::duration<double>(coldWindow).count()
            / coldRate(server) * 1e6;
    return std::max(duration(0), first) + duration(static_cast<std::int64_t>(others));
}

auto startPermit(permit_server &server, const running_permit &permit, instant now) -> void
{
    ++server.running;
    server.runningPermits.push_back(permit);
    if (isCold(server, now)) {
        while (!server.coldStarts.empty() && now - server.coldStarts.front() >= coldWindow)
            server.coldStarts.pop_front();
        server.coldStarts.push_back(now);
    }
}

auto endPermit(permit_server &server, permit_number number) -> void
{
    std::erase_if(server.runningPermits,
                  [number](const auto &running) { return running.number == number; });
    server.running = static_cast<std::uint32_t>(server.runningPermits.size());
}

auto recordResult(latency_statistics &latencies, permit_server &server, const route_name &route,
                  const permit_return &returned, instant now) -> void
{
    switch (returned.result) {
    case permit_result::Answered:
        server.consecutivePauses = 0;
        recordFailure(server, false);
        recordLatency(latencies, server, route, returned.latency, now);
        break;
    case permit_result::Failed:
        recordFailure(server, true);
        break;
    case permit_result::Lost:
        recordFailure(server, true);
        if (returned.latency < fullResetLatency)
            server.pausedUntil = std::max(server.pausedUntil, now + shedPause);
        break;
    case permit_result::TimedOut:
        recordFailure(server, true);
        recordLatency(latencies, server, route, returned.latency, now);
        break;
    case permit_result::Shed:
        if (isFull(returned, server.slots))
            server.pausedUntil = std::max(server.pausedUntil, now + shedPause);
        else
            recordFailure(server, true);
        break;
    case permit_result::Unreachable:
    case permit_result::Misdirected:
        avoid(server, now);
        break;
    case permit_result::Superseded:
        // A lower bound below the expected latency says nothing about the server's speed.
        if (returned.latency > expectedLatency(latencies, server, route, now))
            recordLatency(latencies, server, route, returned.latency, now);
        break;
    case permit_result::Unused:
        break;
    }
    if (returned.load)
        recordLoad(server, *returned.load, now);
}

} // namespace parsleyloft
