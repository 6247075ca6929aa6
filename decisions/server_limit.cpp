// How many requests one backend server gets at a time: cold starts, stragglers, shedding.
#include "decisions/server_limit.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// A cold server's limit rises by one slot after this many answers.
constexpr std::uint32_t answersPerSlot = 20;

// A server becomes a straggler above the first multiple of its peers' latency, and is normal again
// within the second.
constexpr int straggleRatio = 3;
constexpr int recoverRatio = 2;

// The peers' latency counts as at least this, so that small differences between fast servers make
// none of them a straggler.
constexpr duration latencyFloor = 2ms;

constexpr std::uint32_t minStragglerSamples = 5;
constexpr duration probePeriod = 100ms;

// The weight of a new sample in the smoothed latency is 1 / smoothingDivisor.
constexpr int smoothingDivisor = 4;

auto updatePhase(server_load &server, duration sample, duration peerLatency) -> void
{
    const auto reference = std::max(peerLatency, latencyFloor);
    if (server.phase == server_phase::Normal) {
        const auto slow = server.latency > reference * straggleRatio;
        if (slow && peerLatency > 0us && server.samples >= minStragglerSamples)
            server.phase = server_phase::Straggling;
        return;
    }
    if (server.phase == server_phase::Straggling && sample <= reference * recoverRatio) {
        server.phase = server_phase::Normal;
        server.latency = sample;
    }
}

auto raiseLimit(server_load &server) -> void
{
    if (server.phase != server_phase::Cold)
        return;
    if (++server.answersAtLimit < answersPerSlot)
        return;
    server.answersAtLimit = 0;
    if (server.limit < server.slots)
        ++server.limit;
    if (server.limit >= server.slots)
        server.phase = server_phase::Normal;
}

} // namespace

auto hasRoom(const server_load &server, instant now) -> bool
{
    switch (server.phase) {
    case server_phase::Unreachable:
        return false;
    case server_phase::Straggling:
        return server.running == 0 && now >= server.lastStart + probePeriod;
    case server_phase::Cold:
    case server_phase::Normal:
        return server.running < server.limit;
    }
    return false;
}

auto recordStart(server_load &server, instant now) -> void
{
    ++server.running;
    server.lastStart = now;
}

auto recordEnd(server_load &server, attempt_result result, duration latency, duration peerLatency)
        -> void
{
    server.running -= std::min<std::uint32_t>(server.running, 1);
    if (result == attempt_result::Refused) {
        resetToCold(server);
        return;
    }
    if (result == attempt_result::Failed)
        return;
    server.latency = server.samples == 0
            ? latency
            : server.latency + (latency - server.latency) / smoothingDivisor;
    ++server.samples;
    raiseLimit(server);
    updatePhase(server, latency, peerLatency);
}

auto resetToCold(server_load &server) -> void
{
    if (server.phase != server_phase::Unreachable)
        server.phase = server_phase::Cold;
    server.limit = 1;
    server.answersAtLimit = 0;
}

auto markUnreachable(server_load &server, bool unreachable) -> void
{
    if (unreachable) {
        server.phase = server_phase::Unreachable;
        return;
    }
    if (server.phase == server_phase::Unreachable) {
        server.phase = server_phase::Cold;
        resetToCold(server);
    }
}

} // namespace parsleyloft
