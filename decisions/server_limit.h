// How many requests one backend server gets at a time: cold starts, stragglers, shedding.
#pragma once

#include "core/identifiers.h"
#include "core/names.h"
#include "core/time.h"

#include <optional>

namespace parsleyloft {

enum class server_phase {
    // Just started: gets one request at a time. The limit rises with its answers.
    Cold,
    Normal,
    // Much slower than its peers: gets single requests as probes of its recovery.
    Straggling,
    Unreachable,
};

inline constexpr name_table<server_phase, 4> serverPhaseNames{{
        {server_phase::Cold, "cold"},
        {server_phase::Normal, "normal"},
        {server_phase::Straggling, "straggling"},
        {server_phase::Unreachable, "unreachable"},
}};

enum class attempt_result { Answered, Refused, Failed };

inline constexpr name_table<attempt_result, 3> attemptResultNames{{
        {attempt_result::Answered, "answered"},
        {attempt_result::Refused, "refused"},
        {attempt_result::Failed, "failed"},
}};

struct server_load
{
    server_id id;
    std::uint32_t slots = 1;
    server_phase phase = server_phase::Cold;
    // Invariant: running <= limit at each start, and limit <= slots.
    std::uint32_t limit = 1;
    std::uint32_t running = 0;
    // Answers since the limit last rose.
    std::uint32_t answersAtLimit = 0;
    // Smoothed latency, zero until the first answer.
    duration latency = 0us;
    std::uint32_t samples = 0;
    // When a request was last started; spaces the probes of a straggler.
    instant lastStart{};
};

// True when another request may be started at the server now.
auto hasRoom(const server_load &server, instant now) -> bool;

auto recordStart(server_load &server, instant now) -> void;

// Records the end of a request. peerLatency is the median latency of the server's peers, zero when
// unknown.
auto recordEnd(server_load &server, attempt_result result, duration latency, duration peerLatency)
        -> void;

// Sets the limit back to one request: the server restarted, or became cold without notice.
auto resetToCold(server_load &server) -> void;

auto markUnreachable(server_load &server, bool unreachable) -> void;

} // namespace parsleyloft
