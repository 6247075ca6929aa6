// When a host becomes candidate, and whether by ballot or by a new generation in the store.
#include "decisions/candidacy.h"

#include "core/hash.h"

namespace parsleyloft {

namespace {

// After this time without contact, a leader may be replaced by a candidacy ByStore.
constexpr duration recoveryTimeout = 3s;

// The delay between two candidacies ByStore, and its spread over the hosts.
constexpr duration minRecoveryDelay = 1s;
constexpr duration recoveryDelaySpread = 1s;

auto isLeaderUnresponsive(const region_state &region, instant now) -> bool
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
    const auto unresponsive = isLeaderUnresponsive(region, now);
    const auto noRecord = state.record.version == 0;
    const auto storeAllowed = now >= nextRecovery && (noRecord || unresponsive);
    if (!member)
        return storeAllowed ? candidacy::ByStore : candidacy::None;
    return storeAllowed ? candidacy::ByStore : candidacy::ByBallot;
}

auto recoveryDelay(const region_state &region) -> duration
{
    const auto &state = region.leadership;
    const auto spread = static_cast<std::uint64_t>(recoveryDelaySpread.count());
    return minRecoveryDelay
            + duration(stableHash(state.self, state.highestTerm.generation) % spread);
}

auto mayReplaceRecord(region_state &region, const std::map<host_id, instant> &lastContacts,
                      std::uint64_t storedIndex, instant now) -> bool
{
    const auto unchanged = region.lastSeenRecordIndex == storedIndex;
    region.lastSeenRecordIndex = storedIndex;
    if (!unchanged || !isLeaderUnresponsive(region, now))
        return false;
    const auto &record = region.leadership.record;
    std::size_t answering = 0;
    for (const auto &member : record.members) {
        const auto found = lastContacts.find(member.host);
        const auto recent = found != lastContacts.end() && now < found->second + recoveryTimeout;
        if (member.host == region.leadership.self || recent)
            ++answering;
    }
    return answering > record.members.size() / 2;
}

} // namespace parsleyloft
