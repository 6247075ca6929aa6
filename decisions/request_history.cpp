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
    return std::nullopt;
}

auto endAtMostOnce(request_history &history, const request_id &id,
                   const request_outcome &finalOutcome, instant now) -> void
{
    const auto known = history.entries.find(id);
    if (known == history.entries.end() || known->second.finalOutcome)
        return;
    if (finalOutcome.result == outcome::NotRun) {
        history.entries.erase(known);
        return;
    }
    known->second.finalOutcome = finalOutcome;
    history.ended.emplace_back(now, id);
}

auto dropExpired(request_history &history, instant now) -> void
{
    while (!history.ended.empty() && history.ended.front().first + historyRetention <= now) {
        history.entries.erase(history.ended.front().second);
        history.ended.pop_front();
    }
}

} // namespace parsleyloft
