// The pauses that backend servers have requested from this host.
#include "decisions/server_pauses.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// A longer pause is cut to this, so that one wrong answer does not exclude a server for good.
constexpr duration maxPause = 60s;

} // namespace

auto recordPause(server_pauses &pauses, const server_id &server, std::int64_t startTimeMs,
                 duration length, instant now) -> void
{
    std::erase_if(pauses.byServer, [now](const auto &entry) { return now >= entry.second.until; });
    auto &pause = pauses.byServer[server];
    if (startTimeMs < pause.startTimeMs)
        return;
    const auto until = now + std::clamp<duration>(length, 0us, maxPause);
    pause.until = startTimeMs > pause.startTimeMs ? until : std::max(pause.until, until);
    pause.startTimeMs = startTimeMs;
}

auto remainingPause(const server_pauses &pauses, const server_id &server, std::int64_t startTimeMs,
                    instant now) -> duration
{
    const auto found = pauses.byServer.find(server);
    if (found == pauses.byServer.end() || found->second.startTimeMs != startTimeMs)
        return 0us;
    return std::max<duration>(found->second.until - now, 0us);
}

auto pausedServers(const server_pauses &pauses, instant now) -> std::vector<server_id>
{
    std::vector<server_id> paused;
    for (const auto &[server, pause] : pauses.byServer) {
        if (now < pause.until)
            paused.push_back(server);
    }
    return paused;
}

} // namespace parsleyloft
