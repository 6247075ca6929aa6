// When a host stands as candidate, and by which way.
#include "decisions/candidacy.h"

#include "core/hash.h"

namespace parsleyloft {

namespace {

// A leader that was silent for so long may be replaced by way of the store.
constexpr duration recoveryTimeout = 3s;

// The pause between two tries by the store, and its spread over the hosts.
constexpr duration leastRecoveryPause = 1s;
constexpr duration recoverySpread = 1s;

auto isSilent(const region_state &region, instant now) -> bool
{
    return now >= region.lastLeaderContact + recoveryTimeout;
}

} // namespace

auto chooseCandidacy(const region_state &region, instant nextRecovery, instant now) -> candidacy
{
    const auto &state = region.leadership;
    if (!isElectionDue(state, now))
        return candidacy::None;
    const auto member = isMember(state.record, state.self, state.start);
    const auto silent = isSilent(region, now);
    const auto fresh = state.record.version == 0;
    const auto storeAllowed = now >= nextRecovery && (fresh || silent);
    if (!member)
        return storeAllowed ? candidacy::ByStore : candidacy::None;
    return storeAllowed ? candidacy::ByStore : candidacy::ByBallot;
}

auto recoveryDelay(const region_state &region) -> duration
{
    const auto &state = region.leadership;
    const auto spread = static_cast<std::uint64_t>(recoverySpread.count());
    return leastRecoveryPause
            + duration(stableHash(state.self, state.highestTerm.generation) % spread);
}

auto mayReplaceRecord(region_state &region, const std::map<host_id, instant> &heard,
                      std::uint64_t storedIndex, instant now) -> bool
{
    const auto unchanged = region.lastSeenRecordIndex == storedIndex;
    region.lastSeenRecordIndex = storedIndex;
    if (!unchanged || !isSilent(region, now))
        return false;
    const auto &record = region.leadership.record;
    std::size_t answering = 0;
    for (const auto &one : record.members) {
        const auto found = heard.find(one.host);
        const auto recent = found != heard.end() && now < found->second + recoveryTimeout;
        if (one.host == region.leadership.self || recent)
            ++answering;
    }
    return answering > record.members.size() / 2;
}

} // namespace parsleyloft
