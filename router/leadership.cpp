// This host's lease at the platform's store, its announcement, and the election of the leader.
#include "router/leadership.h"

#include "codec/shared_state_codec.h"
#include "decisions/membership.h"
#include "router/site_sync.h"
#include "router/store_follower.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// A leader that fails is replaced after this time. Renewals are at least three times as frequent.
constexpr duration leaseDuration = 3s;
// This host considers its lease ended this much earlier than the store does, to allow for clock
// rates and scheduling.
constexpr duration leaseMargin = 200ms;
// Larger hosts claim the leader's key first. The others wait longer by rank, and claim it if the
// larger ones are not there.
constexpr duration claimDelayPerRank = 40ms;
constexpr duration maxClaimDelay = 200ms;

auto clearCallInFlight(router_process &router) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    router.leadership.callInFlight = false;
}

auto recordRenewal(router_process &router, instant sentAt) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    router.leadership.leaseValidUntil = sentAt + leaseDuration - leaseMargin;
    router.leadership.callInFlight = false;
}

auto handleLeaseLost(router_process &router) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    router.leadership.lease = 0;
    router.leadership.leaseValidUntil = {};
    router.leadership.announced = false;
    router.leadership.callInFlight = false;
    logEvent(log_level::Warn, "lease_lost", {});
}

auto announce(router_process &router, lease_id lease) -> void
{
    store_change change;
    change.writes.push_back(
            {std::string(hostsPrefix) + router.self.id, encodeMember(router.self), lease});
    changeItems(router.store, change, [&router](const result<store_revision> &response) {
        countStoreCall(router.metrics, "announce", response.has_value());
        if (!response && response.error().code == error_code::NotFound) {
            handleLeaseLost(router);
            return;
        }
        const std::lock_guard guard(router.leadership.lock);
        router.leadership.announced = response.has_value();
        router.leadership.callInFlight = false;
    });
}

auto acquireLease(router_process &router) -> void
{
    const auto sentAt = monotonicNow();
    openLease(router.store, leaseDuration, [&router, sentAt](const result<lease_id> &response) {
        countStoreCall(router.metrics, "lease", response.has_value());
        if (!response) {
            recordStoreFailure(router);
            clearCallInFlight(router);
            return;
        }
        recordStoreAnswer(router);
        {
            const std::lock_guard guard(router.leadership.lock);
            router.leadership.lease = *response;
            router.leadership.leaseValidUntil = sentAt + leaseDuration - leaseMargin;
        }
        announce(router, *response);
    });
}

auto keepAlive(router_process &router, lease_id lease) -> void
{
    const auto sentAt = monotonicNow();
    keepLeaseAlive(router.store, lease, [&router, sentAt](const result<void> &response) {
        countStoreCall(router.metrics, "keep", response.has_value());
        if (response) {
            recordStoreAnswer(router);
            recordRenewal(router, sentAt);
        } else if (response.error().code == error_code::NotFound)
            handleLeaseLost(router);
        else {
            recordStoreFailure(router);
            clearCallInFlight(router);
        }
    });
}

} // namespace

auto renewLease(router_process &router) -> void
{
    lease_id lease = 0;
    auto announced = false;
    {
        const std::lock_guard guard(router.leadership.lock);
        if (router.leadership.callInFlight || router.leadership.leaving)
            return;
        router.leadership.callInFlight = true;
        lease = router.leadership.lease;
        announced = router.leadership.announced;
    }
    if (lease == 0)
        acquireLease(router);
    else if (!announced)
        announce(router, lease);
    else
        keepAlive(router, lease);
}

auto claimLeadership(router_process &router) -> void
{
    {
        const std::lock_guard guard(router.members.lock);
        if (router.members.leader.revision != 0)
            return;
        const auto rank = leadershipRank(router.members.hosts, router.self.id);
        const auto delay = std::min<duration>(claimDelayPerRank * static_cast<std::int64_t>(rank),
                                              maxClaimDelay);
        if (monotonicNow() < router.members.leaderlessSince + delay)
            return;
    }
    store_change change;
    leader_claim claim;
    {
        const std::lock_guard guard(router.leadership.lock);
        const auto &own = router.leadership;
        if (own.leaving || !own.announced || monotonicNow() >= own.leaseValidUntil)
            return;
        change.expect.push_back({std::string(leaderKey), 0});
        claim = {router.self.id, own.lease, 0};
        change.writes.push_back({std::string(leaderKey), encodeLeader(claim), own.lease});
    }
    if (!router.directory.loaded)
        return;
    changeItems(router.store, change, [&router, claim](const result<store_revision> &response) {
        countStoreCall(router.metrics, "claim", response.has_value());
        if (!response)
            return;
        const std::lock_guard guard(router.members.lock);
        router.members.leader = claim;
        router.members.leader.revision = *response;
        logEvent(log_level::Info, "leadership_acquired", {{"revision", std::to_string(*response)}});
    });
}

auto leadershipRevision(router_process &router) -> std::optional<store_revision>
{
    leader_claim claim;
    {
        const std::lock_guard guard(router.members.lock);
        claim = router.members.leader;
    }
    const std::lock_guard guard(router.leadership.lock);
    const auto &own = router.leadership;
    if (own.leaving || monotonicNow() >= own.leaseValidUntil
        || !isOwnClaim(claim, router.self.id, own.lease))
        return std::nullopt;
    return claim.revision;
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
