// Start, reload and graceful stop of a routing host, and its periodic work.
#include "router/serve.h"

#include "codec/json.h"
#include "platform/server_messages.h"
#include "router/accounts.h"
#include "router/dump.h"
#include "router/era_change.h"
#include "router/leadership.h"
#include "router/ownership_manager.h"
#include "router/permits.h"
#include "router/request_flow.h"
#include "router/resource_limits.h"
#include "router/site_sync.h"
#include "router/store_follower.h"
#include "router/update_sync.h"
#include "telemetry/event_log.h"

#include <thread>

namespace parsleyloft {

namespace {

constexpr duration claimInterval = 100ms;
constexpr duration initialClaimDelay = 300ms;
constexpr duration ownershipInterval = 40ms;
constexpr duration waitingHostsInterval = 50ms;
constexpr duration connectionSweepInterval = 2s;
constexpr duration parkedInterval = 25ms;
constexpr duration graceInterval = 500ms;

constexpr std::size_t maxIdlePerServer = 6;
constexpr std::size_t bytesPerKilobyte = 1024;
constexpr std::size_t bytesPerMegabyte = std::size_t(1024) * 1024;
// Answers of the store may occupy this part of it, for each of the two clients.
constexpr std::size_t storeMemoryDivisor = 16;
// The largest answer of the store: a page of about 1 MB, encoded as base64, or one value.
constexpr std::size_t maxStoreAnswerBytes = std::size_t(8) * 1024 * 1024;
// The largest headers that are ever received, so that a refusal can name its request.
constexpr http_limits limitsBeforeConfiguration{.maxHeaderBytes = std::size_t(64) * 1024,
                                                .preliminary = true};
// Sent bytes stay unacknowledged for this long only if the server's machine or the network to it
// has failed.
constexpr duration unacknowledgedLimit = 400ms;
constexpr duration closedConnectionsLogPeriod = 1s;
constexpr duration storeKeepAliveProbe = 1s;
constexpr duration storeUnacknowledgedLimit = 1500ms;

// Parts of the grace period: the time in which the load balancer notices that this host is not
// ready, and a reserve for the end of the stop. Callers have the rest to close their connections.
constexpr duration balancerDelay = 2500ms;
constexpr duration stopReserve = 500ms;
// What it takes to pass a server's last answer on.
constexpr duration lastAnswerMargin = 200ms;
constexpr auto drainCheckInterval = std::chrono::milliseconds(20);

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
    handlers.requestTokens = [&router](const wire::QuotaRequest &request,
                                       const peer_responder<wire::QuotaReply> &respond) {
        answerQuota(router, request, respond);
    };
    return handlers;
}

auto isReady(router_process &router) -> bool
{
    return !router.draining && router.directory.loaded && currentRoutes(router) != nullptr;
}

auto answerReadiness(router_process &router, const http_request &request,
                     const http_responder &respond) -> void
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
        for (const auto &follower : router.followers) {
            const auto age = viewAge(*follower);
            if (age != duration::max())
                setViewAge(router.metrics, follower->prefix, age);
        }
        response.body = renderCounters(router.metrics);
    } else if (path == "/v1/dump") {
        response.headers["Content-Type"] = "application/json";
        response.body = toJson(makeDump(router));
    } else {
        response.status = 404;
    }
    respond(std::move(response));
}

auto makeClients(router_process &router, const wire::HostSettings &settings) -> void
{
    const auto limits = resourceLimitsOf(settings);
    http_client_options serverOptions;
    serverOptions.maxIdlePerEndpoint = maxIdlePerServer;
    serverOptions.tcpUserTimeout = unacknowledgedLimit;
    const auto memory = settings.size().memory_mb() * bytesPerMegabyte;
    serverOptions.memory = router.memory;
    serverOptions.receiveBufferBytes = limits.serverBufferBytes;
    serverOptions.maxBodyBytesPerServer = limits.serverBodyBytes;
    router.servers = makeHttpClient(*router.workers, serverOptions);
    http_client_options storeOptions;
    storeOptions.keepAliveInterval = storeKeepAliveProbe;
    storeOptions.tcpUserTimeout = storeUnacknowledgedLimit;
    storeOptions.maxBodyBytes = maxStoreAnswerBytes;
    storeOptions.maxHeldBytes = std::max(maxStoreAnswerBytes, memory / storeMemoryDivisor);
    router.store.http = makeHttpClient(*router.workers, storeOptions);
    router.store.address = *parseEndpoint(settings.store_address());
    // Watches have connections of their own, so that no other call waits behind them.
    router.watches = router.store;
    router.watches.http = makeHttpClient(*router.workers, storeOptions);
    router.peers = makePeerClient(*router.workers);
}

// True if the route of the request is known and idempotent: its caller may count it as not read
// while it runs.
auto mayOverlap(router_process &router, const http_request &request) -> bool
{
    const auto routes = currentRoutes(router);
    const auto decoded = decodeCallerRequest(request);
    const auto *const matched =
            routes && decoded ? findRoute(*routes, decoded->host, request.target) : nullptr;
    const auto overlaps = matched != nullptr && matched->kind == repeatability::Idempotent;
    countPipelined(router.metrics, overlaps);
    if (isLogLevelEnabled(log_level::Debug))
        logEvent(log_level::Debug, "request_read_ahead",
                 {{"request", decoded ? decoded->id : std::string()},
                  {"overlaps", overlaps ? "yes" : "no"}});
    return overlaps;
}

auto pipelineLimits(const wire::HostSettings &settings) -> pipeline_limits
{
    return {settings.pipelined_requests(), settings.pipelined_kb() * bytesPerKilobyte};
}

using simple_handler = void (*)(router_process &, const http_request &, const http_responder &);

auto listenSimple(router_process &router, const std::string &address, simple_handler handler)
        -> result<http_server>
{
    return startHttpServer(
            *router.workers, *parseEndpoint(address), {},
            [&router, handler](const http_request &request, const http_responder &respond) {
                handler(router, request, respond);
            });
}

// Under a flood the limit is reached many times a second. One line a second is enough.
auto recordClosedConnections(router_process &router, std::size_t count, std::size_t open) -> void
{
    countClosedConnections(router.metrics, count);
    const auto now = toMicroseconds(monotonicNow());
    auto last = router.closedConnectionsLoggedAt.load();
    if (now - last < closedConnectionsLogPeriod.count()
        || !router.closedConnectionsLoggedAt.compare_exchange_strong(last, now))
        return;
    logEvent(log_level::Info, "connections_closed",
             {{"count", std::to_string(count)}, {"open", std::to_string(open)}});
}

auto callerServerOptions(router_process &router, const wire::HostSettings &settings)
        -> http_server_options
{
    const auto limits = resourceLimitsOf(settings);
    http_server_options options;
    options.limits = limitsBeforeConfiguration;
    options.memory = router.memory;
    options.maxConnections = limits.connections;
    options.receiveBufferBytes = limits.callerBufferBytes;
    options.onConnectionsClosed = [&router](std::size_t closed, std::size_t open) {
        recordClosedConnections(router, closed, open);
    };
    options.mayOverlap = [&router](const http_request &request) {
        return mayOverlap(router, request);
    };
    options.pipelining = pipelineLimits(settings);
    return options;
}

auto listen(router_process &router, const wire::HostSettings &settings) -> result<void>
{
    auto callers = startHttpServer(*router.workers, *parseEndpoint(settings.caller_address()),
                                   callerServerOptions(router, settings),
                                   [&router](http_request request, http_responder respond) {
                                       serveRequest(router, std::move(request), std::move(respond));
                                   });
    if (!callers)
        return tl::unexpected(callers.error());
    router.callerServer = std::move(*callers);
    auto ready = listenSimple(router, settings.ready_address(), answerReadiness);
    if (!ready)
        return tl::unexpected(ready.error());
    router.readyServer = std::move(*ready);
    auto admin = listenSimple(router, settings.metrics_address(), answerAdmin);
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

auto startPeriodicWork(router_process &router) -> void
{
    post(*router.workers, [&router] {
        beginSync(router);
        renewLease(router);
    });
    repeatWhileRunning(router, renewalRound, renewLease);
    repeatWhileRunning(router, claimInterval, claimLeadership);
    repeatWhileRunning(router, ownershipInterval, manageOwnership);
    repeatWhileRunning(router, waitingHostsInterval, answerDueHosts);
    repeatWhileRunning(router, connectionSweepInterval, sweepConnections);
    repeatWhileRunning(router, parkedInterval, resumeExpiredRequests);
    repeatWhileRunning(router, graceInterval, endGracePeriods);
}

auto sleepFor(duration length) -> void
{
    std::this_thread::sleep_for(length);
}

// Waits until no caller is connected, at most until the given instant. Returns true if no request
// is left.
auto waitForCallers(router_process &router, instant until) -> bool
{
    while (countOpenRequests(router.callerServer) > 0
           || countOpenConnections(router.callerServer) > 0) {
        if (monotonicNow() >= until)
            return countOpenRequests(router.callerServer) == 0;
        std::this_thread::sleep_for(drainCheckInterval);
    }
    return true;
}

} // namespace

auto startRouter(const wire::HostSettings &settings) -> result<std::unique_ptr<router_process>>
{
    auto router = std::make_unique<router_process>();
    router->settings.current = settings;
    router->startedAt = monotonicNow();
    router->heldAnswerBytes = settings.held_answer_kb() * bytesPerKilobyte;
    setAccountBounds(*router, settings.bounds());
    router->hedgingPercent = settings.hedging().percent();
    const auto share = settings.size().cpu_share();
    router->self = {settings.host_id(), settings.failure_domain(), settings.peer_address(),
                    share > 0 ? share : 1};
    router->members.hosts[router->self.id] = router->self;
    // Hosts that start at the same time learn of each other before one of them claims leadership.
    router->members.leaderlessSince = monotonicNow() + initialClaimDelay;
    router->metrics = makeCounters();
    router->workers = startWorkers(settings.worker_threads());
    router->memory = makeMemoryAccount(resourceLimitsOf(settings).memory);
    makeClients(*router, settings);
    prepareSync(*router);
    watchForNewEras(*router);
    const auto listening = listen(*router, settings);
    if (!listening)
        return tl::unexpected(listening.error());
    startPeriodicWork(*router);
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
        kept.set_held_answer_kb(settings.held_answer_kb());
        kept.set_pipelined_requests(settings.pipelined_requests());
        kept.set_pipelined_kb(settings.pipelined_kb());
        *kept.mutable_hedging() = settings.hedging();
        router.settings.current = kept;
    }
    router.heldAnswerBytes = settings.held_answer_kb() * bytesPerKilobyte;
    setPipelineLimits(router.callerServer, pipelineLimits(settings));
    setAccountBounds(router, settings.bounds());
    router.hedgingPercent = settings.hedging().percent();
    setLogLevel(*valueIn(logLevelNames, settings.log_level()));
    logEvent(log_level::Info, "reloaded", {{"log_level", settings.log_level()}});
}

auto stopRouter(router_process &router) -> bool
{
    const auto grace =
            duration(static_cast<std::int64_t>(currentSettings(router).bounds().grace_s() * 1e6));
    const auto drainEnds = monotonicNow() + grace - stopReserve;
    logEvent(log_level::Info, "drain_began",
             {{"requests", std::to_string(countOpenRequests(router.callerServer))}});
    router.answersBy = drainEnds - lastAnswerMargin;
    // Before the requests notice the stop, so that each response sent from then on closes its
    // connection when it is the last one.
    beginHttpDrain(*router.workers, router.callerServer);
    router.draining = true;
    releaseLease(router);
    sleepFor(std::min<duration>(balancerDelay, grace / 2));
    stopListening(router.callerServer);
    router.listeningStopped = true;
    const auto completed = waitForCallers(router, drainEnds);
    router.stopping = true;
    logEvent(log_level::Info, "stopped", {{"whole", completed ? "yes" : "no"}});
    stopPeerServer(router.peerServer, 100ms);
    stopWorkers(*router.workers);
    return completed;
}

} // namespace parsleyloft
