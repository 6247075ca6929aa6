// The shared tables of one entry host's process, and the parts that workers use.
//
// Lock order: configuration, leadership, holdings, groups, one group, peers, statistics.
// A worker may skip tables but takes those it needs in this order. Locks are held around
// calls of decisions only, never around input or output.
#pragma once

#include "decisions/configuration_change.h"
#include "decisions/exchange.h"
#include "decisions/group_queue.h"
#include "decisions/leadership.h"
#include "decisions/planner.h"
#include "decisions/request_history.h"
#include "decisions/retry.h"
#include "decisions/routing.h"
#include "decisions/server_grant.h"
#include "generated/settings.pb.h"
#include "platform/store_client.h"
#include "telemetry/journal.h"
#include "telemetry/metrics.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/peer_link.h"

#include <atomic>
#include <mutex>

namespace parsleyloft {

struct configuration_table
{
    std::mutex lock;
    // Guarded by lock.
    configuration current;
};

// What the leader has under way at the key-value service.
struct leader_writes
{
    bool tableCallPending = false;
    bool recordCallPending = false;
    // The store's index of each key, unknown before it is read in this term and after
    // each write.
    std::optional<std::uint64_t> tableIndex;
    std::optional<std::uint64_t> recordIndex;
    // True while the table given out last is not known to be stored.
    bool tableUnstored = false;
    instant nextTableAttempt{};
    instant nextRecordAttempt{};
    instant nextListRead{};
};

struct leadership_table
{
    std::mutex lock;
    // All guarded by lock.
    region_state region;
    leader_writes writes;
    // No second candidacy by the key-value service before this instant.
    instant nextRecovery{};
    std::set<host_id> leavingHosts;
};

struct holdings_table
{
    std::mutex lock;
    // All guarded by lock.
    holdings_state state;
    std::map<server_id, server_grant_state> grants;
    // Servers whose grants have ended for certain, until they answer again.
    std::set<server_id> lostServers;
    std::map<group_id, group_hint> hints;
};

// A request at the host that sends it, until it ends.
struct pending_request
{
    request_id id;
    class_of_work work;
    std::string key;
    std::string body;
    shard_index shard = 0;
    server_id owner;
    instant arrived{};
    instant deadline{};
    // Attempts under way; the verdict is given when the first answers or the last ends.
    std::uint32_t attempts = 0;
    bool ended = false;
    // True once an attempt ended without the server's word on whether it ran.
    bool mayHaveRun = false;
    std::function<void(request_outcome)> respond;
};

using shared_request = std::shared_ptr<pending_request>;

struct group_table
{
    std::mutex lock;
    // All guarded by lock.
    group_queue queue;
    std::map<ticket, shared_request> waiting;
    std::map<shard_index, std::uint32_t> runningPerShard;
    std::uint32_t running = 0;
    request_history history;
    retry_budget hedges;
    ticket nextTicket = 1;
    instant nextDeadline{};
    // True while this host sent to the group at the last look.
    bool sending = false;
};

struct groups_table
{
    std::mutex lock;
    // Guarded by lock. A group's table is never removed.
    std::map<group_id, std::shared_ptr<group_table>> byId;
};

// Test only: links that are cut, to peers and to the platform.
struct link_cuts
{
    std::mutex lock;
    // Guarded by lock.
    std::set<host_id> peers;
    bool platform = false;
};

struct class_statistics
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t late = 0;
    duration meanWait = 0us;
    reason lastRefusal = reason::None;
};

struct statistics_table
{
    std::mutex lock;
    // Guarded by lock.
    std::map<class_name, class_statistics> classes;
};

struct peers_table
{
    std::mutex lock;
    // Guarded by lock. Hosts heard of by settings, the host list and exchanges.
    std::map<host_id, host_info> hosts;
    std::size_t nextPeer = 0;
    // Peers that were seen with an older configuration.
    std::set<host_id> outdated;
    // When each peer last answered.
    std::map<host_id, instant> lastContact;
};

struct daemon_process
{
    wire::Settings settings;
    std::vector<service_info> services;
    lease_limits limits;
    host_info self;
    start_number start = 0;

    std::unique_ptr<worker_pool> workers;
    store_client store;
    http_client serverClient;
    peer_client peerClient;
    metrics counters;
    journal events;
    http_server callerServer;
    peer_server peerServer;

    configuration_table configured;
    leadership_table leadership;
    holdings_table holdings;
    groups_table groups;
    peers_table peerTable;
    statistics_table statistics;
    link_cuts linkCuts;
    retry_budget retries;
    std::mutex retryLock;

    std::atomic<bool> draining = false;
    std::atomic<bool> stopping = false;
    std::atomic<bool> storeReachable = false;
    std::atomic<std::uint64_t> storeCalls = 0;
    std::atomic<std::size_t> parkedRequests = 0;
};

auto groupTable(daemon_process &daemon, const group_id &group) -> std::shared_ptr<group_table>;

auto currentConfiguration(daemon_process &daemon) -> configuration;

// Takes a stored configuration over when it is newer, and notes that in the journal.
auto adoptConfiguration(daemon_process &daemon, const configuration &stored) -> void;

// Remembers where a host can be reached.
auto updateHostAddress(daemon_process &daemon, const host_info &host) -> void;

auto addressOfPeer(daemon_process &daemon, const host_id &host) -> std::string;

auto isCutFrom(daemon_process &daemon, const host_id &host) -> bool;
auto isCutFromPlatform(daemon_process &daemon) -> bool;

// Keys of this region in the key-value service.
auto configurationKey() -> std::string;
auto recordKey(const daemon_process &daemon) -> std::string;
auto tableKey(const daemon_process &daemon) -> std::string;

// Calls on the key-value service, counted, and refused while the link is cut.
auto storeRead(daemon_process &daemon, const std::string &key, store_callback<store_value> done)
        -> void;
auto storeWrite(daemon_process &daemon, const std::string &key, const std::string &value,
                std::uint64_t index, store_callback<void> done) -> void;
auto storeHostList(daemon_process &daemon, store_callback<host_list> done) -> void;

} // namespace parsleyloft
