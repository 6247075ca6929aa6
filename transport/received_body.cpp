// The body of a request as it was received: segments that are never moved or copied.
#include "transport/received_body.h"

#include <algorithm>

namespace parsleyloft {

namespace {

constexpr std::size_t firstSegmentBytes = 1024;
// Below the size from which the allocator maps each block of its own.
constexpr std::size_t maxSegmentBytes = std::size_t(64) * 1024;

} // namespace

auto nextSegmentBytes(std::size_t size, std::size_t expected) -> std::size_t
{
    return std::min(std::clamp(size, firstSegmentBytes, maxSegmentBytes), expected);
}

auto addSegment(received_body &body, std::size_t capacity) -> void
{
    body.segments.push_back({std::make_unique_for_overwrite<char[]>(capacity), capacity, 0});
}

auto joinSegments(const received_body &body) -> std::string
{
    std::string text;
    text.reserve(body.size);
    for (const auto &segment : body.segments)
        text.append(segment.bytes.get(), segment.used);
    return text;
}

} // namespace parsleyloft
