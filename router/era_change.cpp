// What a host does when the store has come back from an older copy of itself.
#include "router/era_change.h"

#include "router/leadership.h"
#include "router/site_sync.h"
#include "router/store_follower.h"
#include "router/update_source.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// A host with an update source reads the store itself only if that source has not sent updates of
// the new era until then, so that the reads of all hosts do not reach the store at once.
constexpr duration sourceReadTime = 500ms;

// Operators and servers write again what the copy lacks within about 2 s of the return, and hosts
// announce themselves under new leases.
constexpr duration rewriteGrace = 2500ms;

// No drill can restore the store, from a copy of before the first grants, within this time after
// the first start of a deployment.
constexpr duration maxFirstAnswerDelay = 1500ms;
// Hosts that followed the store see its return with their next renewal, and claim leadership within
// this time.
constexpr duration newcomerClaimDelay = 2s;

auto recordEarlierEra(router_process &router) -> void
{
    const std::lock_guard guard(router.updateSync.lock);
    router.updateSync.earlierEraUntil = monotonicNow();
}

// The first answer that states an era. Earlier ones have ended unseen, unless this host has been
// there since the first start of the deployment.
auto handleFirstEra(router_process &router) -> void
{
    const auto now = monotonicNow();
    const auto late = now - router.startedAt > maxFirstAnswerDelay;
    if (late) {
        const std::lock_guard guard(router.members.lock);
        router.members.firstClaimFrom = now + newcomerClaimDelay;
    }
    if (late || !currentSettings(router).first_start())
        recordEarlierEra(router);
}

auto handleNewerEra(router_process &router, store_era previous, store_era era) -> void
{
    setStoreEra(router.metrics, era);
    if (previous == 0) {
        handleFirstEra(router);
        return;
    }
    recordEarlierEra(router);
    logEvent(log_level::Warn, "store_era_changed",
             {{"era", std::to_string(era)}, {"previous", std::to_string(previous)}});
    startGracePeriods(router, rewriteGrace);
    abandonLease(router, era);
    const auto hasSource = clearSourceSuspicions(router);
    restartFollowers(router, hasSource ? sourceReadTime : 0us);
}

} // namespace

auto watchForNewEras(router_process &router) -> void
{
    router.store.eras->onNewer = [&router](store_era previous, store_era era) {
        handleNewerEra(router, previous, era);
    };
}

} // namespace parsleyloft
