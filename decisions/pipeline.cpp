// The order in which the requests of one connection of a caller are read, run and answered.
#include "decisions/pipeline.h"

#include <algorithm>

namespace parsleyloft {

auto mayReadNext(const pipeline &line) -> bool
{
    if (line.readingEnded)
        return false;
    if (line.requests.empty())
        return true;
    return line.requests.size() < line.limits.maxRequests && line.heldBytes < line.limits.maxBytes;
}

auto mayReceiveMore(const pipeline &line, std::size_t receivedBytes) -> bool
{
    if (line.readingEnded)
        return false;
    return line.requests.empty() || line.heldBytes + receivedBytes < line.limits.maxBytes;
}

auto addRequest(pipeline &line, bool mayOverlap, std::size_t bytes) -> void
{
    line.requests.push_back({mayOverlap, pipeline_stage::Waiting, bytes});
    line.heldBytes += bytes;
}

auto mayStart(const pipeline &line, std::size_t position, bool draining) -> bool
{
    const auto &request = line.requests.at(position);
    if (request.stage != pipeline_stage::Waiting)
        return false;
    return position == 0 || (request.mayOverlap && !draining);
}

auto recordStart(pipeline &line, std::size_t position) -> void
{
    line.requests.at(position).stage = pipeline_stage::Running;
}

auto recordResponse(pipeline &line, std::size_t position, std::size_t bytes) -> void
{
    auto &request = line.requests.at(position);
    request.stage = pipeline_stage::Answered;
    request.heldBytes += bytes;
    line.heldBytes += bytes;
}

auto isLastResponse(const pipeline &line, bool draining) -> bool
{
    constexpr std::size_t next = 1;
    if (line.requests.size() <= next)
        return draining || line.readingEnded;
    return draining && line.requests[next].stage == pipeline_stage::Waiting;
}

auto countAnswered(const pipeline &line) -> std::size_t
{
    const auto open = std::find_if(line.requests.begin(), line.requests.end(), [](const auto &one) {
        return one.stage != pipeline_stage::Answered;
    });
    return static_cast<std::size_t>(open - line.requests.begin());
}

auto removeFirst(pipeline &line) -> void
{
    line.heldBytes -= line.requests.front().heldBytes;
    line.requests.erase(line.requests.begin());
}

auto removeFrom(pipeline &line, std::size_t position) -> void
{
    while (line.requests.size() > position) {
        line.heldBytes -= line.requests.back().heldBytes;
        line.requests.pop_back();
    }
}

} // namespace parsleyloft
