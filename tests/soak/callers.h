// The callers of the soak: threads that send requests which must not run twice, over plain sockets,
// and record what they receive.
#pragma once

#include "soak/scene.h"
#include "telemetry/journal.h"

#include <atomic>
#include <memory>
#include <thread>

namespace parsleyloft {

// How a caller sends one request and what it does until the answer.
enum class caller_behaviour : std::uint8_t {
    Waits,
    // Sends the next request in one segment with this one.
    Pipelines,
    // Closes its sending side after the request, and goes on reading.
    HalfCloses,
    // Closes the connection before the end of the body.
    LeavesInBody,
    // Closes the connection before the answer.
    LeavesEarly,
    // Sends the request in pieces with pauses.
    SendsInPieces,
    SendsInChunks,
    // Sends the body only after the interim answer.
    ExpectsContinue,
};

inline constexpr name_table<caller_behaviour, 8> callerBehaviourNames{{
        {caller_behaviour::Waits, "waits"},
        {caller_behaviour::Pipelines, "pipelines"},
        {caller_behaviour::HalfCloses, "half_closes"},
        {caller_behaviour::LeavesInBody, "leaves_in_body"},
        {caller_behaviour::LeavesEarly, "leaves_early"},
        {caller_behaviour::SendsInPieces, "sends_in_pieces"},
        {caller_behaviour::SendsInChunks, "sends_in_chunks"},
        {caller_behaviour::ExpectsContinue, "expects_continue"},
}};

struct callers
{
    std::vector<std::thread> threads;
    std::shared_ptr<std::atomic<bool>> stopping = std::make_shared<std::atomic<bool>>(false);
};

// Starts the callers. Each sends its requests to the addresses in turn, on kept and on new
// connections, and sends a refused request again under a new id. For each request the journal gets
// a CALL_SENT event before its first byte, and a CALL_ENDED event with the outcome "answered",
// "not_run", "unknown" or "denied" and the status and behaviour as the reason.
auto startCallers(const scene_options &options, const std::vector<endpoint> &hosts,
                  const journal &events) -> callers;

// Lets the requests under way end, and joins the threads.
auto stopCallers(callers &running) -> void;

} // namespace parsleyloft
