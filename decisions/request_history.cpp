// Recent requests that may run at most once, by request id, at the host that sends them.
#include "decisions/request_history.h"

namespace parsleyloft {

auto beginOnce(request_history &history, const request_id &id, bool repeated, instant now)
        -> std::optional<request_outcome>
{
    dropOld(history, now);
    const auto known = history.entries.find(id);
    if (known != history.entries.end()) {
        if (known->second.ended)
            return known->second.ended;
        return unknownOutcome(reason::AlreadyRunning);
    }
    // An earlier attempt may have passed through a host whose history is gone.
    if (repeated && now < history.since + historyLength)
        return unknownOutcome(reason::HistoryLost);
    history.entries[id] = {};
    history.byAge.emplace_back(now, id);
    return std::nullopt;
}

auto endOnce(request_history &history, const request_id &id, const request_outcome &ended) -> void
{
    if (ended.result == outcome::NotRun) {
        history.entries.erase(id);
        return;
    }
    const auto known = history.entries.find(id);
    if (known != history.entries.end())
        known->second.ended = ended;
}

auto dropOld(request_history &history, instant now) -> void
{
    while (!history.byAge.empty() && history.byAge.front().first + historyLength <= now) {
        history.entries.erase(history.byAge.front().second);
        history.byAge.pop_front();
    }
}

} // namespace parsleyloft
