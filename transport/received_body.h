// The body of a request as it was received: segments that are never moved or copied.
#pragma once

#include "transport/memory_account.h"

#include <string>
#include <vector>

namespace parsleyloft {

struct body_segment
{
    std::unique_ptr<char[]> bytes;
    std::size_t capacity = 0;
    std::size_t used = 0;
};

// Not changed once the request is complete, so that several sends share it.
struct received_body
{
    std::vector<body_segment> segments;
    // The sum of the used bytes of all segments.
    std::size_t size = 0;
    // Counts the segments against the host's memory budget. Null without a budget.
    shared_memory memory;
};

using shared_body = std::shared_ptr<const received_body>;

// The size of the segment that follows `size` received bytes: as much again, so that no more is
// reserved in advance than has arrived, but not more than the bytes that are still expected.
auto nextSegmentBytes(std::size_t size, std::size_t expected) -> std::size_t;

auto addSegment(received_body &body, std::size_t capacity) -> void;

// A copy of all bytes in one piece, for servers without a memory budget.
auto joinSegments(const received_body &body) -> std::string;

} // namespace parsleyloft
