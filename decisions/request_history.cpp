// The recent requests that may run at most once, by request id, at the host that sends them.
#include "decisions/request_history.h"

namespace parsleyloft {

namespace {

// True when the first attempt of a repeated request would have an entry if it had been sent.
auto coversFirstAttempt(const request_history &history, const at_most_once_request &request,
                        instant now) -> bool
{
    // Work without a key may have been sent to any group.
    if (!request.shard)
        return false;
    const auto found = history.shards.find(*request.shard);
    return found != history.shards.end()
            && now >= found->second.completeSince + request.maxWait + historyRetention;
}

} // namespace

auto recordShard(request_history &history, shard_index shard, const epoch &grantEpoch, instant now)
        -> void
{
    const auto [known, added] = history.shards.try_emplace(shard, shard_history{grantEpoch, now});
    if (!added && known->second.grantEpoch != grantEpoch)
        known->second = {grantEpoch, now};
}

auto beginAtMostOnce(request_history &history, const at_most_once_request &request, instant now)
        -> std::optional<request_outcome>
{
    dropExpired(history, now);
    const auto known = history.entries.find(request.id);
    if (known != history.entries.end()) {
        if (known->second.finalOutcome)
            return known->second.finalOutcome;
        return unknownOutcome(reason::AlreadyRunning);
    }
    if (request.repeated && !coversFirstAttempt(history, request, now))
        return unknownOutcome(reason::HistoryLost);
    history.entries[request.id] = {};
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
