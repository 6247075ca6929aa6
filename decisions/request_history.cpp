// The recent requests that may run at most once, by request id, at the host that sends them.
#include "decisions/request_history.h"

namespace parsleyloft {

auto beginAtMostOnce(request_history &history, const request_id &id, bool repeated, instant now)
        -> std::optional<request_outcome>
{
    dropExpired(history, now);
    const auto known = history.entries.find(id);
    if (known != history.entries.end()) {
        if (known->second.finalOutcome)
            return known->second.finalOutcome;
        return unknownOutcome(reason::AlreadyRunning);
    }
    // An earlier attempt may have passed through a host whose history is no longer available.
    if (repeated && now < history.completeSince + historyRetention)
        return unknownOutcome(reason::HistoryLost);
    history.entries[id] = {};
    history.byAge.emplace_back(now, id);
    return std::nullopt;
}

auto endAtMostOnce(request_history &history, const request_id &id,
                   const request_outcome &finalOutcome) -> void
{
    if (finalOutcome.result == outcome::NotRun) {
        history.entries.erase(id);
        return;
    }
    const auto known = history.entries.find(id);
    if (known != history.entries.end())
        known->second.finalOutcome = finalOutcome;
}

auto dropExpired(request_history &history, instant now) -> void
{
    while (!history.byAge.empty() && history.byAge.front().first + historyRetention <= now) {
        history.entries.erase(history.byAge.front().second);
        history.byAge.pop_front();
    }
}

} // namespace parsleyloft
