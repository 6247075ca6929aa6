// Start, periodic work and graceful stop of an entry host's process.
#include "daemon/serve.h"

#include "codec/assignment_codec.h"
#include "codec/configuration_codec.h"
#include "daemon/election.h"
#include "daemon/entry.h"
#include "daemon/exchange.h"
#include "daemon/grants.h"
#include "daemon/http_api.h"
#include "daemon/leader.h"
#include "telemetry/event_log.h"

#include <random>
#include <thread>

namespace parsleyloft {

namespace {

constexpr duration leadPeriod = 50ms;
constexpr duration electionPeriod = 50ms;
constexpr duration gossipPeriod = 1s;
constexpr duration platformPeriod = 1s;

// Idle connections kept to each backend server. A server has at most this many slots.
constexpr std::size_t idlePerServer = 16;

// How often the progress of a drain is checked.
constexpr auto drainPollPeriod = std::chrono::milliseconds(20);
// Wait at the start of a drain and before the process stops, so that the other hosts learn from the
// exchanges that this one is draining and holds nothing any more.
constexpr auto drainNoticeTime = std::chrono::milliseconds(600);

auto drawStartNumber() -> start_number
{
    std::random_device source;
    return (start_number(source()) << 32U) | source();
}

auto leaseHasLapsed(daemon_process &daemon) -> bool
{
    const std::lock_guard guard(daemon.holdings.lock);
    return monotonicNow() >= daemon.holdings.state.leaseEnds;
}

auto readConfiguration(daemon_process &daemon) -> void
{
    storeRead(daemon, configurationKey(), [&daemon](const result<store_value> &reply) {
        wire::Configuration message;
        if (reply && reply->index != 0 && message.ParseFromString(reply->value))
            adoptConfiguration(daemon, fromWire(message));
    });
}

auto readPeers(daemon_process &daemon) -> void
{
    storeHostList(daemon, [&daemon](const result<host_list> &reply) {
        if (!reply)
            return;
        for (const auto &host : reply->hosts)
            updateHostAddress(daemon, host);
    });
}

// Reads the platform while this host has no lease. A host with a lease gets the same state from its
// leader, which saves the platform the load.
auto readPlatformWithoutLease(daemon_process &daemon) -> void
{
    if (!leaseHasLapsed(daemon))
        return;
    readConfiguration(daemon);
    readPeers(daemon);
    readMemberRecord(daemon);
}

auto runPeriodically(daemon_process &daemon, duration period, void (*work)(daemon_process &))
        -> void
{
    postEvery(*daemon.workers, period, [&daemon, work] {
        if (!daemon.stopping)
            work(daemon);
        return !daemon.stopping;
    });
}

auto startPeriodicWork(daemon_process &daemon) -> void
{
    post(*daemon.workers, [&daemon] { readPlatformWithoutLease(daemon); });
    runPeriodically(daemon, daemon.limits.exchangePeriod, exchangeWithLeader);
    runPeriodically(daemon, daemon.limits.exchangePeriod, renewGrants);
    runPeriodically(daemon, gossipPeriod, exchangeWithNextPeer);
    runPeriodically(daemon, electionPeriod, startCandidacyIfDue);
    runPeriodically(daemon, leadPeriod, runLeaderStep);
    runPeriodically(daemon, platformPeriod, readPlatformWithoutLease);
}

auto peerHandlers(daemon_process &daemon) -> peer_handlers
{
    peer_handlers handlers;
    handlers.exchange = [&daemon](const wire::ExchangeRequest &request,
                                  const peer_responder<wire::ExchangeReply> &respond) {
        // Test only: a peer whose link is cut gets an empty reply, which has no effect.
        if (isCutFrom(daemon, request.sender().host_id()))
            respond({});
        else
            respond(answerExchange(daemon, request));
    };
    handlers.consent = [&daemon](const wire::ConsentRequest &request,
                                 const peer_responder<wire::ConsentReply> &respond) {
        if (isCutFrom(daemon, request.candidate()))
            respond({});
        else
            respond(handleConsentRequest(daemon, request));
    };
    handlers.forward = [&daemon](const wire::ForwardRequest &request,
                                 peer_responder<wire::ForwardReply> respond) {
        handleForward(daemon, request, std::move(respond));
    };
    return handlers;
}

auto initializeTables(daemon_process &daemon) -> void
{
    const auto &settings = daemon.settings;
    daemon.self = {settings.host_id(), settings.failure_domain(), settings.caller_address(),
                   settings.peer_address()};
    daemon.start = drawStartNumber();
    daemon.services = servicesFromWire(settings);
    const auto now = monotonicNow();
    const member self{daemon.self.id, daemon.start, daemon.self.domain};
    daemon.leadership.region = newRegion(daemon.limits, self, daemon.services, now);
    daemon.holdings.state = newHoldings(daemon.limits, daemon.self.id);
    for (const auto &peer : settings.peers())
        updateHostAddress(daemon, {peer.host_id(), {}, {}, peer.peer_address()});
}

auto journalProcessEvent(daemon_process &daemon, wire::JournalKind kind) -> void
{
    wire::JournalEvent event;
    event.set_kind(kind);
    event.set_server_id(daemon.settings.caller_address());
    recordEvent(daemon.events, std::move(event));
}

// True once this host holds no group and has no open request or caller connection.
auto isDrained(daemon_process &daemon) -> bool
{
    if (countOpenRequests(daemon.callerServer) > 0 || countOpenConnections(daemon.callerServer) > 0)
        return false;
    const std::lock_guard guard(daemon.holdings.lock);
    const auto &state = daemon.holdings.state;
    const auto now = monotonicNow();
    for (const auto &[id, group] : state.table.groups) {
        if (mayUseGroup(state, id, now) || isReleasingGroup(state, id, now))
            return false;
    }
    return true;
}

auto waitUntilDrained(daemon_process &daemon) -> bool
{
    const auto limit = std::chrono::milliseconds(daemon.settings.drain_limit_ms());
    const auto end = monotonicNow() + limit;
    while (!isDrained(daemon)) {
        if (monotonicNow() >= end)
            return false;
        std::this_thread::sleep_for(drainPollPeriod);
    }
    return true;
}

} // namespace

auto startDaemon(const wire::Settings &settings) -> result<std::unique_ptr<daemon_process>>
{
    auto daemon = std::make_unique<daemon_process>();
    daemon->settings = settings;
    initializeTables(*daemon);
    auto events = openJournal(settings.journal_path(), settings.host_id());
    if (!events)
        return tl::unexpected(events.error());
    daemon->events = std::move(*events);
    daemon->counters = makeMetrics();
    daemon->workers = startWorkers(settings.worker_threads());
    daemon->serverClient = makeHttpClient(*daemon->workers, idlePerServer);
    daemon->store.http = makeHttpClient(*daemon->workers, 2);
    daemon->store.address = *parseEndpoint(settings.platform_address());
    daemon->peerClient = makePeerClient(*daemon->workers);
    auto peerServer =
            startPeerServer(*daemon->workers, settings.peer_address(), peerHandlers(*daemon));
    if (!peerServer)
        return tl::unexpected(peerServer.error());
    daemon->peerServer = std::move(*peerServer);
    const auto callerAddress = *parseEndpoint(settings.caller_address());
    auto callerServer =
            startHttpServer(*daemon->workers, callerAddress, {settings.max_body_bytes(), 0us},
                            [process = daemon.get()](http_request request, http_responder respond) {
                                handleHttp(*process, std::move(request), std::move(respond));
                            });
    if (!callerServer)
        return tl::unexpected(callerServer.error());
    daemon->callerServer = std::move(*callerServer);
    journalProcessEvent(*daemon, wire::JOURNAL_KIND_STARTED);
    startPeriodicWork(*daemon);
    logEvent(log_level::Info, "started",
             {{"callers", settings.caller_address()}, {"peers", settings.peer_address()}});
    return daemon;
}

auto stopDaemon(daemon_process &daemon) -> bool
{
    journalProcessEvent(daemon, wire::JOURNAL_KIND_STOP_BEGAN);
    logEvent(log_level::Info, "drain_began", {});
    daemon.draining = true;
    std::this_thread::sleep_for(drainNoticeTime);
    beginHttpDrain(*daemon.workers, daemon.callerServer);
    const auto drained = waitUntilDrained(daemon);
    stopListening(daemon.callerServer);
    std::this_thread::sleep_for(drainNoticeTime);
    daemon.stopping = true;
    stopPeerServer(daemon.peerServer, std::chrono::seconds(1));
    stopWorkers(*daemon.workers);
    journalProcessEvent(daemon, wire::JOURNAL_KIND_STOP_ENDED);
    logEvent(log_level::Info, "stopped", {{"whole", drained ? "yes" : "no"}});
    return drained;
}

} // namespace parsleyloft
