// The limits of a host's memory and connections, from its settings.
#include "router/resource_limits.h"

#include "decisions/connection_limit.h"

#include <algorithm>

namespace parsleyloft {

namespace {

constexpr std::size_t bytesPerKilobyte = 1024;
constexpr std::size_t bytesPerMegabyte = std::size_t(1024) * 1024;
constexpr std::size_t percentDivisor = 100;
// The budget of a host whose memory is not stated.
constexpr std::size_t defaultMemoryBytes = 256 * bytesPerMegabyte;
// Part of the memory for one body that exceeds the share of all: 72 MB of 120 MB, because a body of
// 64 MB must be served there.
constexpr std::size_t singleBodyPercent = 60;
// Part of the memory that the received and unread bytes of all callers may occupy.
constexpr std::size_t unreadPercent = 15;
// A window of 16 KB is what a link of 10 Mbit/s holds in 13 ms; one of 64 KB is enough for
// 200 Mbit/s within a site.
constexpr std::size_t minReceiveBufferBytes = 16 * bytesPerKilobyte;
constexpr std::size_t maxReceiveBufferBytes = 64 * bytesPerKilobyte;

auto receiveBufferOf(std::size_t memoryBytes, std::size_t connections) -> std::size_t
{
    if (memoryBytes == 0 || connections == 0)
        return 0;
    return std::clamp(memoryBytes * unreadPercent / percentDivisor / connections,
                      minReceiveBufferBytes, maxReceiveBufferBytes);
}

} // namespace

auto resourceLimitsOf(const wire::HostSettings &settings) -> resource_limits
{
    const auto memoryBytes = settings.size().memory_mb() * bytesPerMegabyte;
    const auto sharedBytes = memoryBytes * settings.request_memory_percent() / percentDivisor;
    resource_limits limits;
    if (memoryBytes > 0)
        limits.memory = {sharedBytes,
                         std::max(sharedBytes, memoryBytes * singleBodyPercent / percentDivisor)};
    else
        limits.memory = {defaultMemoryBytes, defaultMemoryBytes};
    limits.connections = settings.max_caller_connections() > 0
            ? settings.max_caller_connections()
            : defaultConnectionLimit(settings.size().max_descriptors(), memoryBytes);
    limits.callerBufferBytes = receiveBufferOf(memoryBytes, limits.connections);
    // Permits bound how many connections with servers are in use, so each may have more.
    limits.serverBufferBytes = memoryBytes > 0 ? maxReceiveBufferBytes : 0;
    if (settings.receive_buffer_kb() > 0) {
        limits.callerBufferBytes = settings.receive_buffer_kb() * bytesPerKilobyte;
        limits.serverBufferBytes = limits.callerBufferBytes;
    }
    limits.serverBodyBytes = settings.server_body_kb() * bytesPerKilobyte;
    return limits;
}

} // namespace parsleyloft
