// This host's lease at the platform's store, its announcement, and the election of the leader.
#include "router/leadership.h"

#include "codec/shared_state_codec.h"
#include "decisions/membership.h"
#include "router/site_sync.h"
#include "router/store_follower.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// This host considers its lease ended this much earlier than the store does, to allow for clock
// rates and scheduling.
constexpr duration leaseMargin = 200ms;
// While all hosts start at once, the list of hosts is complete only after this time for each host.
constexpr duration settleDelayPerHost = 2ms;
constexpr duration maxSettleDelay = 400ms;

// The terms that this host's lease should have now.
auto wantedTerms(router_process &router) -> lease_terms
{
    lease_situation situation;
    situation.usesUpdateSource = router.usesUpdateSource;
    const std::lock_guard guard(router.members.lock);
    const auto &members = router.members;
    situation.hosts = members.hosts.size();
    situation.rank = leadershipRank(members.hosts, router.self.id);
    situation.settled = monotonicNow() >= members.leaderlessSince;
    return leaseTermsFor(situation);
}

auto clearCallInFlight(router_process &router) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    router.leadership.callInFlight = false;
}

// Called with the leadership's lock held.
auto heldLease(const lease_state &own) -> store_lease
{
    return {own.lease, own.leaseEra};
}

// Called with the leadership's lock held.
auto isLeaseValid(const lease_state &own) -> bool
{
    return timeLeft(own.leaseValidUntil, hostTimeNow()) > 0us;
}

// Called with the leadership's lock held.
auto dropLease(lease_state &own) -> void
{
    own.lease = 0;
    own.leaseValidUntil = {};
    own.announced = false;
}

// Returns false if the lease was abandoned meanwhile.
auto recordRenewal(router_process &router, const store_lease &lease, const host_time &sentAt)
        -> bool
{
    const std::lock_guard guard(router.leadership.lock);
    auto &own = router.leadership;
    own.callInFlight = false;
    if (heldLease(own) != lease)
        return false;
    own.renewedAt = sentAt.monotonic;
    own.leaseValidUntil = timeAfter(sentAt, own.leaseLength - leaseMargin);
    return true;
}

auto handleLeaseLost(router_process &router, const store_lease &lease) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    auto &own = router.leadership;
    own.callInFlight = false;
    if (heldLease(own) != lease)
        return;
    dropLease(own);
    logEvent(log_level::Warn, "lease_lost", {});
}

auto announce(router_process &router, const store_lease &lease) -> void
{
    store_change change;
    change.writes.push_back(
            {std::string(hostsPrefix) + router.self.id, encodeMember(router.self), lease.id});
    changeItems(router.store, change, [&router, lease](const result<store_position> &response) {
        countStoreCall(router.metrics, "announce", response.has_value());
        if (!response && response.error().code == error_code::NotFound) {
            handleLeaseLost(router, lease);
            return;
        }
        const std::lock_guard guard(router.leadership.lock);
        auto &own = router.leadership;
        own.callInFlight = false;
        if (heldLease(own) == lease)
            own.announced = response.has_value();
    });
}

// Opens a lease and announces this host under it. A lease that it replaces is left to lapse: no key
// depends on it then.
auto acquireLease(router_process &router, duration length) -> void
{
    const auto sentAt = hostTimeNow();
    openLease(router.store, length, [&router, sentAt, length](const result<store_lease> &response) {
        countStoreCall(router.metrics, "lease", response.has_value());
        if (!response) {
            clearCallInFlight(router);
            return;
        }
        recordStoreAnswer(router);
        {
            const std::lock_guard guard(router.leadership.lock);
            auto &own = router.leadership;
            if (response->era != currentEra(router.store)) {
                own.callInFlight = false;
                return;
            }
            own.lease = response->id;
            own.leaseEra = response->era;
            own.leaseLength = length;
            own.renewedAt = sentAt.monotonic;
            own.leaseValidUntil = timeAfter(sentAt, length - leaseMargin);
            own.announced = false;
        }
        announce(router, *response);
    });
}

auto keepAlive(router_process &router, const store_lease &lease) -> void
{
    const auto sentAt = hostTimeNow();
    keepLeaseAlive(router.store, lease.id, [&router, lease, sentAt](const result<void> &response) {
        countStoreCall(router.metrics, "keep", response.has_value());
        if (response) {
            recordStoreAnswer(router);
            if (!recordRenewal(router, lease, sentAt))
                renewLease(router);
        } else if (response.error().code == error_code::NotFound)
            handleLeaseLost(router, lease);
        else
            clearCallInFlight(router);
    });
}

// True when the leader's key is free and it is this host's turn. Called with the members' lock
// held.
auto isClaimDue(const members_table &members, const host_id &self, store_era era) -> bool
{
    const auto &leader = members.leader;
    if (!isVacant(leader, era))
        return false;
    // The key may have changed since it was read in an earlier era.
    if (leader.position.revision != 0 && leader.position.era < era)
        return false;
    if (members.lastClaim.position.revision == 0 && monotonicNow() < members.firstClaimFrom)
        return false;
    const auto rank = leadershipRank(members.hosts, self);
    const auto restored = members.lastClaim.position.revision != 0 && members.lastClaim.era < era;
    if (restored)
        return monotonicNow() >= members.leaderlessSince
                + claimDelayAfterRestore(rank, members.lastClaim.host == self);
    const auto settle = std::min<duration>(
            settleDelayPerHost * static_cast<std::int64_t>(members.hosts.size()), maxSettleDelay);
    return monotonicNow() >= members.leaderlessSince + settle + claimDelay(rank);
}

// True when the lease is short enough for a leader.
auto holdsCandidateLease(router_process &router) -> bool
{
    const std::lock_guard guard(router.leadership.lock);
    return router.leadership.lease != 0 && router.leadership.leaseLength <= candidateLeaseLength();
}

} // namespace

auto candidateLeaseLength() -> duration
{
    return leaseTermsFor({1, 0, true, false}).length;
}

auto renewLease(router_process &router) -> void
{
    const auto terms = wantedTerms(router);
    store_lease lease;
    auto announced = false;
    {
        const std::lock_guard guard(router.leadership.lock);
        auto &own = router.leadership;
        if (own.callInFlight || own.leaving)
            return;
        // A lease that is longer than needed is kept otherwise.
        if (own.lease != 0 && own.leaseLength > terms.length)
            own.lease = 0;
        lease = heldLease(own);
        announced = own.announced;
        // Renewals come with the rounds, so one that is due before the next round is due now.
        const auto sinceRenewal = monotonicNow() - own.renewedAt;
        if (lease.id != 0 && announced && sinceRenewal + renewalRound / 2 < terms.renewAfter)
            return;
        own.callInFlight = true;
    }
    if (lease.id == 0)
        acquireLease(router, terms.length);
    else if (!announced)
        announce(router, lease);
    else
        keepAlive(router, lease);
}

auto abandonLease(router_process &router, store_era era) -> void
{
    const auto mayLead = holdsCandidateLease(router);
    {
        const std::lock_guard guard(router.leadership.lock);
        auto &own = router.leadership;
        if (own.lease == 0 || own.leaseEra >= era)
            return;
        dropLease(own);
    }
    logEvent(log_level::Warn, "lease_abandoned", {{"era", std::to_string(era)}});
    // The other hosts wait for their next round, so that their calls are spread.
    if (mayLead)
        post(*router.workers, [&router] { renewLease(router); });
}

auto claimLeadership(router_process &router) -> void
{
    const auto era = currentEra(router.store);
    store_position replaced;
    {
        const std::lock_guard guard(router.members.lock);
        if (!isClaimDue(router.members, router.self.id, era))
            return;
        replaced = router.members.leader.position;
    }
    if (!holdsCandidateLease(router)) {
        renewLease(router);
        return;
    }
    store_change change;
    leader_claim claim;
    {
        const std::lock_guard guard(router.leadership.lock);
        const auto &own = router.leadership;
        if (own.leaving || !own.announced || own.leaseEra != era || !isLeaseValid(own))
            return;
        change.expect.push_back({std::string(leaderKey), replaced.revision});
        claim = {router.self.id, own.lease, era, {}};
        change.writes.push_back({std::string(leaderKey), encodeLeader(claim), own.lease});
    }
    if (!router.directory.confirmed)
        return;
    changeItems(router.store, change, [&router, claim](const result<store_position> &response) {
        countStoreCall(router.metrics, "claim", response.has_value());
        if (!response || response->era != claim.era)
            return;
        const std::lock_guard guard(router.members.lock);
        router.members.leader = claim;
        router.members.leader.position = *response;
        router.members.lastClaim = router.members.leader;
        logEvent(log_level::Info, "leadership_acquired",
                 {{"revision", std::to_string(response->revision)},
                  {"era", std::to_string(response->era)}});
    });
}

auto leadershipRevision(router_process &router) -> std::optional<store_position>
{
    leader_claim claim;
    {
        const std::lock_guard guard(router.members.lock);
        claim = router.members.leader;
    }
    const std::lock_guard guard(router.leadership.lock);
    const auto &own = router.leadership;
    if (own.leaving || !isLeaseValid(own)
        || !isOwnClaim(claim, router.self.id, own.lease, currentEra(router.store)))
        return std::nullopt;
    return claim.position;
}

auto isLeading(router_process &router) -> bool
{
    return leadershipRevision(router).has_value();
}

auto releaseLease(router_process &router) -> void
{
    lease_id lease = 0;
    {
        const std::lock_guard guard(router.leadership.lock);
        router.leadership.leaving = true;
        lease = router.leadership.lease;
    }
    if (lease == 0)
        return;
    endLease(router.store, lease, [&router](const result<void> &response) {
        countStoreCall(router.metrics, "lease_end", response.has_value());
        if (!response)
            logEvent(log_level::Warn, "lease_release_failed",
                     {{"detail", response.error().detail}});
    });
}

} // namespace parsleyloft
