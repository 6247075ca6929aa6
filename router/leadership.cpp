// This host's lease at the platform's store, and who of the hosts leads.
#include "router/leadership.h"

#include "codec/shared_state_codec.h"
#include "decisions/membership.h"
#include "router/site_sync.h"
#include "router/store_follower.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// A leader that is lost is replaced after this; renewals come three times as often.
constexpr duration leaseLength = 3s;
// The lease is taken to end earlier than the store ends it: clocks' rates and scheduling.
constexpr duration leaseMargin = 200ms;
// Larger hosts claim the leader's key first; the others follow in case those are away.
constexpr duration claimTurn = 40ms;
constexpr duration longestClaimTurn = 200ms;

auto setIdle(router_process &router) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    router.leadership.busy = false;
}

auto noteRenewed(router_process &router, instant sentAt) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    router.leadership.leaseEnds = sentAt + leaseLength - leaseMargin;
    router.leadership.busy = false;
}

auto noteLeaseLost(router_process &router) -> void
{
    const std::lock_guard guard(router.leadership.lock);
    router.leadership.lease = 0;
    router.leadership.leaseEnds = {};
    router.leadership.announced = false;
    router.leadership.busy = false;
    logEvent(log_level::Warn, "lease_lost", {});
}

auto announce(router_process &router, store_lease lease) -> void
{
    store_change change;
    change.writes.push_back(
            {std::string(hostsPrefix) + router.self.id, encodeMember(router.self), lease});
    changeItems(router.store, change, [&router](const result<store_revision> &ended) {
        countStoreCall(router.counted, "announce", ended.has_value());
        if (!ended && ended.error().code == error_code::NotFound) {
            noteLeaseLost(router);
            return;
        }
        const std::lock_guard guard(router.leadership.lock);
        router.leadership.announced = ended.has_value();
        router.leadership.busy = false;
    });
}

auto beginLease(router_process &router) -> void
{
    const auto sentAt = monotonicNow();
    openLease(router.store, leaseLength, [&router, sentAt](const result<store_lease> &ended) {
        countStoreCall(router.counted, "lease", ended.has_value());
        if (!ended) {
            noteStoreTrouble(router);
            setIdle(router);
            return;
        }
        noteStoreSeen(router);
        {
            const std::lock_guard guard(router.leadership.lock);
            router.leadership.lease = *ended;
            router.leadership.leaseEnds = sentAt + leaseLength - leaseMargin;
        }
        announce(router, *ended);
    });
}

auto keep(router_process &router, store_lease lease) -> void
{
    const auto sentAt = monotonicNow();
    keepLease(router.store, lease, [&router, sentAt](const result<void> &ended) {
        countStoreCall(router.counted, "keep", ended.has_value());
        if (ended) {
            noteStoreSeen(router);
            noteRenewed(router, sentAt);
        } else if (ended.error().code == error_code::NotFound)
            noteLeaseLost(router);
        else {
            noteStoreTrouble(router);
            setIdle(router);
        }
    });
}

} // namespace

auto renewLease(router_process &router) -> void
{
    store_lease lease = 0;
    auto announced = false;
    {
        const std::lock_guard guard(router.leadership.lock);
        if (router.leadership.busy || router.leadership.leaving)
            return;
        router.leadership.busy = true;
        lease = router.leadership.lease;
        announced = router.leadership.announced;
    }
    if (lease == 0)
        beginLease(router);
    else if (!announced)
        announce(router, lease);
    else
        keep(router, lease);
}

auto claimLeadership(router_process &router) -> void
{
    {
        const std::lock_guard guard(router.members.lock);
        if (router.members.leader.revision != 0)
            return;
        const auto rank = leadershipRank(router.members.hosts, router.self.id);
        const auto turn =
                std::min<duration>(claimTurn * static_cast<std::int64_t>(rank), longestClaimTurn);
        if (monotonicNow() < router.members.leaderlessSince + turn)
            return;
    }
    store_change change;
    leader_claim claim;
    {
        const std::lock_guard guard(router.leadership.lock);
        const auto &own = router.leadership;
        if (own.leaving || !own.announced || monotonicNow() >= own.leaseEnds)
            return;
        change.expect.push_back({std::string(leaderKey), 0});
        claim = {router.self.id, own.lease, 0};
        change.writes.push_back({std::string(leaderKey), encodeLeader(claim), own.lease});
    }
    if (!router.directory.read)
        return;
    changeItems(router.store, change, [&router, claim](const result<store_revision> &ended) {
        countStoreCall(router.counted, "claim", ended.has_value());
        if (!ended)
            return;
        const std::lock_guard guard(router.members.lock);
        router.members.leader = claim;
        router.members.leader.revision = *ended;
        logEvent(log_level::Info, "leadership_taken", {{"revision", std::to_string(*ended)}});
    });
}

auto leaderRevision(router_process &router) -> std::optional<store_revision>
{
    leader_claim claim;
    {
        const std::lock_guard guard(router.members.lock);
        claim = router.members.leader;
    }
    const std::lock_guard guard(router.leadership.lock);
    const auto &own = router.leadership;
    if (own.leaving || monotonicNow() >= own.leaseEnds
        || !isOwnClaim(claim, router.self.id, own.lease))
        return std::nullopt;
    return claim.revision;
}

auto leadsNow(router_process &router) -> bool
{
    return leaderRevision(router).has_value();
}

auto giveUpLease(router_process &router) -> void
{
    store_lease lease = 0;
    {
        const std::lock_guard guard(router.leadership.lock);
        router.leadership.leaving = true;
        lease = router.leadership.lease;
    }
    if (lease == 0)
        return;
    endLease(router.store, lease, [&router](const result<void> &ended) {
        countStoreCall(router.counted, "lease_end", ended.has_value());
        if (!ended)
            logEvent(log_level::Warn, "lease_not_given_back", {{"detail", ended.error().detail}});
    });
}

} // namespace parsleyloft
