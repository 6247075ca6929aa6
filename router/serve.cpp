// The life of one routing host's process.
#include "router/serve.h"

#include "codec/json.h"
#include "router/dump.h"
#include "router/key_keeper.h"
#include "router/leadership.h"
#include "router/permits.h"
#include "router/relay.h"
#include "router/request_flow.h"
#include "router/site_sync.h"
#include "telemetry/event_log.h"

#include <thread>

namespace parsleyloft {

namespace {

// Leases last 3 s; four renewals fit. They also show a host that passes on news that it still
// reaches the store.
constexpr duration renewPeriod = 700ms;
constexpr duration claimPeriod = 100ms;
constexpr duration firstClaim = 300ms;
constexpr duration keeperPeriod = 40ms;
constexpr duration relayLook = 50ms;
constexpr duration sweepPeriod = 2s;
constexpr duration parkedLook = 25ms;
constexpr duration vanishedLook = 500ms;

constexpr std::size_t idlePerServer = 6;
// Sent bytes without an acknowledgement: the server's host or the way to it is gone.
constexpr duration unacknowledgedLimit = 400ms;
constexpr duration storeProbe = 1s;
constexpr duration storeUnacknowledged = 1500ms;

// Of the grace: what the balancer needs to see that this host is not ready, what callers
// may take to close, and what is kept for the end.
constexpr duration balancerNotice = 2500ms;
constexpr duration stopReserve = 500ms;
constexpr auto drainLook = std::chrono::milliseconds(20);

auto peerHandlers(router_process &router) -> peer_handlers
{
    peer_handlers handlers;
    handlers.requestPermit = [&router](const wire::PermitRequest &request,
                                       peer_responder<wire::PermitReply> respond) {
        answerPermitRequest(router, request, std::move(respond));
    };
    handlers.returnPermit = [&router](const wire::PermitReturn &returned) {
        answerPermitReturn(router, returned);
    };
    handlers.sync = [&router](wire::SyncRequest request, peer_responder<wire::SyncReply> respond) {
        answerSync(router, std::move(request), std::move(respond));
    };
    return handlers;
}

auto isReady(router_process &router) -> bool
{
    return !router.draining && router.directory.read && currentRoutes(router) != nullptr;
}

auto answerReady(router_process &router, const http_request &request, const http_responder &respond)
        -> void
{
    http_response response;
    response.status = 404;
    if (targetPath(request.target) == "/ready")
        response.status = isReady(router) ? 200 : 503;
    respond(std::move(response));
}

auto answerAdmin(router_process &router, const http_request &request, const http_responder &respond)
        -> void
{
    http_response response;
    const auto path = targetPath(request.target);
    if (path == "/metrics") {
        response.headers["Content-Type"] = "text/plain; version=0.0.4";
        response.body = renderCounters(router.counted);
    } else if (path == "/v1/dump") {
        response.headers["Content-Type"] = "application/json";
        response.body = toJson(dumpOf(router));
    } else {
        response.status = 404;
    }
    respond(std::move(response));
}

auto makeClients(router_process &router, const wire::HostSettings &settings) -> void
{
    http_client_options toServers;
    toServers.maxIdlePerEndpoint = idlePerServer;
    toServers.tcpUserTimeout = unacknowledgedLimit;
    router.servers = makeHttpClient(*router.workers, toServers);
    http_client_options toStore;
    toStore.keepAliveInterval = storeProbe;
    toStore.tcpUserTimeout = storeUnacknowledged;
    router.store.http = makeHttpClient(*router.workers, toStore);
    router.store.at = *parseEndpoint(settings.store_address());
    // Watches wait on connections of their own, so that no other call waits behind them.
    router.watches = router.store;
    router.watches.http = makeHttpClient(*router.workers, toStore);
    router.peers = makePeerClient(*router.workers);
}

using plain_handler = void (*)(router_process &, const http_request &, const http_responder &);

auto listenPlain(router_process &router, const std::string &address, plain_handler handler)
        -> result<http_server>
{
    return startHttpServer(
            *router.workers, *parseEndpoint(address), {},
            [&router, handler](const http_request &request, const http_responder &respond) {
                handler(router, request, respond);
            });
}

auto listen(router_process &router, const wire::HostSettings &settings) -> result<void>
{
    auto callers = startHttpServer(*router.workers, *parseEndpoint(settings.caller_address()), {},
                                   [&router](http_request request, http_responder respond) {
                                       serveRequest(router, std::move(request), std::move(respond));
                                   });
    if (!callers)
        return tl::unexpected(callers.error());
    router.callerServer = std::move(*callers);
    auto ready = listenPlain(router, settings.ready_address(), answerReady);
    if (!ready)
        return tl::unexpected(ready.error());
    router.readyServer = std::move(*ready);
    auto admin = listenPlain(router, settings.metrics_address(), answerAdmin);
    if (!admin)
        return tl::unexpected(admin.error());
    router.adminServer = std::move(*admin);
    auto peers = startPeerServer(*router.workers, settings.peer_address(), peerHandlers(router));
    if (!peers)
        return tl::unexpected(peers.error());
    router.peerServer = std::move(*peers);
    return {};
}

auto sweepConnections(router_process &router) -> void
{
    dropStaleConnections(router.servers);
}

auto beginWork(router_process &router) -> void
{
    post(*router.workers, [&router] {
        beginSync(router);
        renewLease(router);
    });
    repeatWhileRunning(router, renewPeriod, renewLease);
    repeatWhileRunning(router, claimPeriod, claimLeadership);
    repeatWhileRunning(router, keeperPeriod, keepOwners);
    repeatWhileRunning(router, relayLook, answerExpiredWaits);
    repeatWhileRunning(router, sweepPeriod, sweepConnections);
    repeatWhileRunning(router, parkedLook, resumeExpired);
    repeatWhileRunning(router, vanishedLook, dropVanishedServers);
}

auto sleepFor(duration length) -> void
{
    std::this_thread::sleep_for(length);
}

// Waits until no caller is connected or the instant has come.
auto waitForCallers(router_process &router, instant until) -> bool
{
    while (countOpenRequests(router.callerServer) > 0
           || countOpenConnections(router.callerServer) > 0) {
        if (monotonicNow() >= until)
            return countOpenRequests(router.callerServer) == 0;
        std::this_thread::sleep_for(drainLook);
    }
    return true;
}

} // namespace

auto startRouter(const wire::HostSettings &settings) -> result<std::unique_ptr<router_process>>
{
    auto router = std::make_unique<router_process>();
    router->settings.current = settings;
    const auto share = settings.size().cpu_share();
    router->self = {settings.host_id(), settings.failure_domain(), settings.peer_address(),
                    share > 0 ? share : 1};
    router->members.hosts[router->self.id] = router->self;
    // Hosts that start together hear of each other before one of them claims to lead.
    router->members.leaderlessSince = monotonicNow() + firstClaim;
    router->counted = makeCounters();
    router->workers = startWorkers(settings.worker_threads());
    makeClients(*router, settings);
    prepareSync(*router);
    const auto listening = listen(*router, settings);
    if (!listening)
        return tl::unexpected(listening.error());
    beginWork(*router);
    logEvent(log_level::Info, "started",
             {{"callers", settings.caller_address()},
              {"peers", settings.peer_address()},
              {"domain", settings.failure_domain()}});
    return router;
}

auto reloadRouter(router_process &router, const wire::HostSettings &settings) -> void
{
    {
        const std::lock_guard guard(router.settings.lock);
        auto kept = router.settings.current;
        *kept.mutable_bounds() = settings.bounds();
        kept.set_log_level(settings.log_level());
        router.settings.current = kept;
    }
    setLogLevel(*valueIn(logLevelNames, settings.log_level()));
    logEvent(log_level::Info, "reloaded", {{"log_level", settings.log_level()}});
}

auto stopRouter(router_process &router) -> bool
{
    const auto grace =
            duration(static_cast<std::int64_t>(currentSettings(router).bounds().grace_s() * 1e6));
    const auto ends = monotonicNow() + grace - stopReserve;
    logEvent(log_level::Info, "drain_began",
             {{"requests", std::to_string(countOpenRequests(router.callerServer))}});
    router.draining = true;
    giveUpLease(router);
    beginHttpDrain(*router.workers, router.callerServer);
    sleepFor(std::min<duration>(balancerNotice, grace / 2));
    stopListening(router.callerServer);
    const auto whole = waitForCallers(router, ends);
    router.stopping = true;
    logEvent(log_level::Info, "stopped", {{"whole", whole ? "yes" : "no"}});
    stopPeerServer(router.peerServer, 100ms);
    stopWorkers(*router.workers);
    return whole;
}

} // namespace parsleyloft
