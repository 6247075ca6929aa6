// Which connections of callers are closed when a host has as many as its descriptors allow.
#include "decisions/connection_limit.h"

#include <algorithm>
#include <limits>

namespace parsleyloft {

namespace {

// Descriptors that the platform reserves for files.
constexpr std::size_t fileDescriptors = 200;
// Callers have this part of the other descriptors; servers, other hosts and the store have the
// rest.
constexpr std::size_t callerNumerator = 2;
constexpr std::size_t callerDenominator = 3;
// Memory of one connection with its coroutines and the buffer for headers, and the part of the
// host's memory that all of them may take.
constexpr std::size_t bytesPerConnection = std::size_t(16) * 1024;
constexpr std::size_t connectionMemoryDivisor = 10;
constexpr std::size_t fewestConnections = 16;

} // namespace

auto connectionsToClose(const std::vector<connection_report> &connections, std::size_t count)
        -> std::vector<std::size_t>
{
    std::vector<std::size_t> positions;
    for (std::size_t position = 0; position < connections.size(); ++position) {
        if (connections[position].use != connection_use::Serving)
            positions.push_back(position);
    }
    const auto closedFirst = [&](std::size_t left, std::size_t right) {
        const auto &a = connections[left];
        const auto &b = connections[right];
        return a.use != b.use ? a.use < b.use : a.lastProgress < b.lastProgress;
    };
    const auto chosen = std::min(count, positions.size());
    std::partial_sort(positions.begin(), positions.begin() + static_cast<std::ptrdiff_t>(chosen),
                      positions.end(), closedFirst);
    positions.resize(chosen);
    return positions;
}

auto defaultConnectionLimit(std::size_t maxDescriptors, std::size_t memoryBytes) -> std::size_t
{
    auto limit = std::numeric_limits<std::size_t>::max();
    if (maxDescriptors > 0)
        limit = (maxDescriptors - std::min(maxDescriptors, fileDescriptors)) * callerNumerator
                / callerDenominator;
    if (memoryBytes > 0)
        limit = std::min(limit, memoryBytes / connectionMemoryDivisor / bytesPerConnection);
    if (limit == std::numeric_limits<std::size_t>::max())
        return 0;
    return std::max(limit, fewestConnections);
}

} // namespace parsleyloft
