// State of one routing host on the users' platform: the tables shared by its workers, its clients
// and its servers.
//
// Lock order: a follower, settings, routes, directory, ownership, members, groups, one group,
// accounts, repeats, hedging, work, leadership, updateSync, one request. A worker may skip tables,
// but locks those it needs in this order. Locks are held only around calls into decisions/, never
// around input or output. The newest era of the store is read and raised without a lock, also while
// locks are held; the reaction to a newer one takes the locks in this order and is started without
// any.
#pragma once

#include "core/host_time.h"
#include "decisions/account_quota.h"
#include "decisions/hedging.h"
#include "decisions/key_heat.h"
#include "decisions/membership.h"
#include "decisions/ownership_updates.h"
#include "decisions/permit_queue.h"
#include "decisions/repeat_budget.h"
#include "decisions/route_table.h"
#include "decisions/server_pauses.h"
#include "generated/host_settings.pb.h"
#include "platform/site_store.h"
#include "router/counters.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/peer_link.h"

#include <atomic>
#include <limits>
#include <mutex>

namespace parsleyloft {

struct settings_table
{
    mutable std::mutex lock;
    // Guarded by lock.
    wire::HostSettings current;
};

struct routes_table
{
    std::mutex lock;
    // Guarded by lock. Null until a configuration has been read.
    shared_routes current;
    // Guarded by lock. What is malformed or unknown in the current configuration.
    std::vector<std::string> defects;
};

struct directory_table
{
    std::mutex lock;
    // All guarded by lock.
    server_directory directory;
    // Pauses that servers have requested from this host.
    server_pauses pauses;
    // Leaving servers that the leader has not been notified of yet.
    std::vector<std::pair<server_id, std::int64_t>> unreportedLeaving;
    // Set while the store cannot be reached.
    std::optional<instant> storeUnreachableSince;
    // When the view of the servers was last known to be complete before the latest outage.
    std::optional<host_time> viewBeforeOutage;
    // The same while a grace period that follows the outage may last. Empty in other grace periods.
    std::optional<host_time> graceSinceView;
    // Copy of the directory's version, so that changes are detected without the lock.
    std::atomic<std::uint64_t> version = 0;
    // True once the server entries have been read completely.
    std::atomic<bool> loaded = false;
    // True once they are followed too.
    std::atomic<bool> confirmed = false;
};

// A request that waits until its key has an owner. It is resumed at `until` at the latest.
struct parked_request
{
    instant until{};
    std::function<void()> resume;
};

struct ownership_tables
{
    std::mutex lock;
    // All guarded by lock. Invariant: the table of each entry is not null.
    std::map<service_name, tracked_ownership> services;
    std::vector<parked_request> parked;
};

struct members_table
{
    std::mutex lock;
    // All guarded by lock. Always includes this host.
    std::map<host_id, member_host> hosts;
    missing_hosts missing;
    // Cache: the hosts that may run the permit queue of a group, in order of preference. Cleared
    // when hosts changes.
    std::map<group_id, std::vector<host_id>> queueHosts;
    // Hosts that did not answer a permit request.
    std::map<host_id, host_suspicion> suspicions;
    leader_claim leader;
    // The last claim that was not empty. Kept after the leader's key is gone.
    leader_claim lastClaim;
    // True once the list of hosts has been read.
    bool listed = false;
    // When this host last saw the leader's key change. The delay before this host claims leadership
    // counts from then.
    instant leaderlessSince{};
    // A host that knows of no claim makes none before this, so that hosts that followed the store
    // in an earlier era precede it.
    instant firstClaimFrom{};
};

struct permit_answer
{
    // 0 when the request was refused.
    permit_number permit = 0;
    server_id server;
    refusal reason = refusal::None;
    duration expectedWait = 0us;
    // When the caller of a refused request should return, or 0 when that is not planned.
    duration returnAfter = 0us;
};

using permit_callback = std::function<void(permit_answer)>;

// The permit queue of one group, run by this host for itself and for other hosts.
struct group_queue_table
{
    std::mutex lock;
    // All guarded by lock.
    permit_queue queue;
    // Callbacks of the requests in the queue.
    std::map<permit_number, permit_callback> callbacks;
    // Version of the directory that the queue's servers were taken from.
    std::uint64_t directoryVersion = 0;
    // When the queue is scheduled to be processed next.
    instant nextProcessing = instant::max();
};

struct group_tables
{
    std::mutex lock;
    // All guarded by lock. A group's table is never removed.
    std::map<group_id, std::shared_ptr<group_queue_table>> byId;
    // The wait that a group's queue host reported with its last permit or refusal.
    struct reported_wait
    {
        duration wait = 0us;
        instant receivedAt{};
    };
    std::map<group_id, reported_wait> reportedWaits;
};

struct store_follower;

// A sync request of another host that waits for updates. It is answered at `until` at the latest.
struct waiting_host
{
    wire::SyncRequest request;
    peer_responder<wire::SyncReply> respond;
    instant until{};
};

struct compressed_item
{
    store_position position;
    std::string value;
};

// How this host receives updates of the store and sends them on. The leader watches the store, the
// other hosts request updates from it, or from the standby while the leader does not answer. A host
// without an update source watches the store itself.
struct update_sync_table
{
    std::mutex lock;
    // All guarded by lock.
    std::vector<waiting_host> waiting;
    // True while an answer to the waiting hosts is scheduled.
    bool flushPlanned = false;
    // Compressed forms of long values, by key.
    std::map<std::string, compressed_item> compressed;
    instant nextOwnersRead{};
    // When this host last had the latest tables of owners: from the leader, from the store, or
    // because it led.
    instant ownersCurrentAt{};
    // An earlier era of the store may have lasted until then, with tables that the present one
    // lacks. Empty when this host knows that there was none.
    std::optional<instant> earlierEraUntil;
    // The host that sent the last updates, or empty.
    host_id source;
    // When this host's source was last current.
    instant sourceCurrentAt{};
    // Hosts that could not serve updates, or did not answer.
    std::map<host_id, host_suspicion> suspicions;
    // Consecutive calls that found no connection to the source.
    std::uint32_t connectFailures = 0;
    // A host that has just started waits until then for updates from other hosts, before it reads
    // the whole store itself.
    instant startupWaitUntil{};
    instant nextHostsRead{};
};

enum class token_result : std::uint8_t { Granted, BeyondQuota, NoQuotaHost };

inline constexpr name_table<token_result, 3> tokenResultNames{{
        {token_result::Granted, "granted"},
        {token_result::BeyondQuota, "beyond_quota"},
        {token_result::NoQuotaHost, "no_quota_host"},
}};

struct token_outcome
{
    token_result result = token_result::NoQuotaHost;
    // Until when the token may be spent.
    instant expires{};
    duration retryAfter = 0us;
};

using token_callback = std::function<void(const token_outcome &)>;

// A request that waits for a token, until then at the latest.
struct waiting_token
{
    instant until{};
    token_callback done;
};

// The quota of one account at this host.
struct account_state
{
    quota_terms terms;
    held_quota held;
    std::vector<waiting_token> waiting;
    // True while a call to a quota host is under way or planned.
    bool callInFlight = false;
};

struct accounts_table
{
    std::mutex lock;
    // All guarded by lock. Bounds of all quotas, from the settings.
    quota_terms bounds;
    std::map<account_name, account_state> byName;
    // The accounts whose quota host this host is, or was.
    std::map<account_name, quota_bucket> buckets;
    // Quota hosts that did not answer. Kept apart from those of permits: a quota host that is
    // suspected wrongly leaves its accounts without tokens.
    std::map<host_id, host_suspicion> suspicions;
    // Hosts that are being called to learn whether they answer.
    std::set<host_id> checked;
};

struct repeats_table
{
    std::mutex lock;
    // Guarded by lock.
    std::map<service_name, repeat_budget> services;
};

// Work requested by callers, by key, in microseconds.
using work_by_key = std::map<key_number, double>;

// Work on the keys of one service as reported by all hosts, with exponential decay: amounts are
// multiples of a unit that grows with time, so older work counts less.
struct reported_work
{
    work_by_key keys;
    // When the unit was 1.
    instant unitSince{};
    // When the load was last computed from these amounts, and last logged.
    instant loadUpdatedAt{};
    instant loadLoggedAt{};
};

struct hedging_table
{
    std::mutex lock;
    // Guarded by lock. Empty while hedging is off.
    std::map<route_name, hedged_route> routes;
};

struct work_table
{
    std::mutex lock;
    // All guarded by lock. Work requested here since the last report to the leader.
    std::map<service_name, work_by_key> requested;
    // Slowness of servers, by service, that other hosts reported to this host as their relay.
    std::map<service_name, std::map<server_id, double>> relayedSlowness;
    // Smoothed latency of each route at this host: the estimated work of one request.
    std::map<route_name, duration> smoothedLatency;
    // At the leader: the work that the hosts reported, and the load computed from it.
    std::map<service_name, reported_work> reported;
    std::map<service_name, key_load> loads;
    std::map<service_name, key_heat> heat;
};

// The leader's state for one keyed service.
struct managed_service
{
    ownership_manager manager;
    // The table's position as this leader last read or wrote it.
    store_position revision;
    // True from the start of a write until its result is known.
    bool writeInFlight = false;
    // Set while the store lacks the table, or states slices as pending that are held.
    std::optional<instant> unstoredSince;
};

struct lease_state
{
    std::mutex lock;
    // All guarded by lock. 0 while this host has no lease.
    lease_id lease = 0;
    // The era of the store in which the lease was opened. In a later one its id may stand for a
    // lease of another host.
    store_era leaseEra = 0;
    // The time to live with which the lease was opened.
    duration leaseLength = 0us;
    // When the last successful renewal was sent.
    instant renewedAt{};
    // The lease is valid at the store at least until then.
    host_time leaseValidUntil;
    // True once this host's entry has been written under the lease.
    bool announced = false;
    // True once this host stops: it neither renews its lease nor leads.
    bool leaving = false;
    // True while a call on the lease or the announcement is under way.
    bool callInFlight = false;
    // The keyed services whose ownership this host manages while it leads.
    std::map<service_name, managed_service> managed;
    // The services whose ownership table is being read.
    std::set<service_name> loading;
};

struct router_process
{
    settings_table settings;
    std::string settingsPath;
    // Not changed after the start.
    instant startedAt{};
    member_host self;

    std::unique_ptr<worker_pool> workers;
    site_store store;
    // The same store over separate connections, for watches.
    site_store watches;
    http_client servers;
    peer_client peers;
    http_server callerServer;
    http_server readyServer;
    http_server adminServer;
    peer_server peerServer;
    counters metrics;
    // What is held for callers and servers. Not replaced after the start.
    shared_memory_account memory;
    // When closed connections were last logged, in microseconds of the monotonic clock.
    std::atomic<std::int64_t> closedConnectionsLoggedAt = 0;

    routes_table routes;
    directory_table directory;
    ownership_tables ownership;
    members_table members;
    group_tables groups;
    accounts_table accounts;
    repeats_table repeats;
    hedging_table hedging;
    work_table work;
    lease_state leadership;
    update_sync_table updateSync;
    // Not changed after the start.
    std::vector<std::shared_ptr<store_follower>> followers;

    // For how long keys of accounts are accepted without a current configuration. The maximum for
    // any time.
    std::atomic<duration> keyAcceptance = duration::max();
    // True while this host receives store updates from another host, and before the first updates.
    std::atomic<bool> usesUpdateSource = true;
    // The bytes of one answer that this host holds while it passes the answer on.
    std::atomic<std::size_t> heldAnswerBytes = 0;
    // The setting hedging.percent, so that a request reads it without a lock. 0: no second
    // attempts.
    std::atomic<double> hedgingPercent = 0;
    std::atomic<bool> draining = false;
    // Servers must have answered by then, because this host ends. Set before draining.
    std::atomic<instant> answersBy = instant::max();
    // True once this host accepts no more connections of callers.
    std::atomic<bool> listeningStopped = false;
    std::atomic<bool> stopping = false;
    std::atomic<permit_number> nextPermit = 1;
};

// The hosts that may run the group's permit queue, in order of preference. Called with the
// members' lock held.
auto queueHostsFor(members_table &members, const group_id &group) -> const std::vector<host_id> &;

auto currentSettings(const router_process &router) -> wire::HostSettings;
auto currentRoutes(router_process &router) -> shared_routes;

// Runs work periodically until the process stops.
auto repeatWhileRunning(router_process &router, duration period, void (*work)(router_process &))
        -> void;

} // namespace parsleyloft
