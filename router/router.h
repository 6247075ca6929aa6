// The shared tables of one host that routes on the platform, and the parts its workers use.
//
// Lock order: a follower, settings, routes, directory, ownership, members, groups, one group,
// repeats, work, leadership, relay, one request. A worker may skip tables but takes those it needs
// in this order. Locks are held around calls of decisions only, never around input or output.
#pragma once

#include "decisions/membership.h"
#include "decisions/ownership_updates.h"
#include "decisions/permit_queue.h"
#include "decisions/repeat_budget.h"
#include "decisions/route_table.h"
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
    // Guarded by lock. Empty until a configuration is known.
    shared_routes current;
};

struct directory_table
{
    std::mutex lock;
    // Both guarded by lock.
    server_directory directory;
    // Since when the store could not be reached.
    std::optional<instant> storeAwaySince;
    // A copy of the directory's version, to see changes without the lock.
    std::atomic<std::uint64_t> version = 0;
    std::atomic<bool> read = false;
};

// A request that waits until its key has an owner.
struct parked_request
{
    instant until{};
    std::function<void()> resume;
};

struct ownership_tables
{
    std::mutex lock;
    // All guarded by lock. Each entry has a table.
    std::map<service_name, tracked_ownership> services;
    std::vector<parked_request> parked;
};

struct members_table
{
    std::mutex lock;
    // All guarded by lock. This host is always among them.
    std::map<host_id, member_host> hosts;
    // Who keeps the queue of a group, by preference; worked out once for each state of hosts.
    std::map<group_id, std::vector<host_id>> keepers;
    // Hosts that did not answer when they were asked for a permit.
    std::map<host_id, host_suspicion> doubts;
    leader_claim leader;
    // Since when there has been no leader, as far as this host knows.
    instant leaderlessSince{};
};

struct permit_answer
{
    // 0 when the request was refused.
    permit_number permit = 0;
    server_id server;
    refusal why = refusal::None;
    duration expectedWait = 0us;
};

using permit_callback = std::function<void(permit_answer)>;

// The queue of one group, kept by this host for all that ask it.
struct group_queue_table
{
    std::mutex lock;
    // All guarded by lock.
    permit_queue queue;
    std::map<permit_number, permit_callback> callers;
    std::uint64_t directoryVersion = 0;
    instant nextWake = instant::max();
};

struct group_tables
{
    std::mutex lock;
    // Guarded by lock. A group's table is never removed.
    std::map<group_id, std::shared_ptr<group_queue_table>> byId;
    // What each group's keeper last said of its wait, and when.
    struct heard_wait
    {
        duration wait = 0us;
        instant at{};
    };
    std::map<group_id, heard_wait> waits;
};

struct store_follower;

// Another host that waits here for news of the store.
struct waiting_host
{
    wire::SyncRequest asked;
    peer_responder<wire::SyncReply> respond;
    instant until{};
};

struct packed_item
{
    store_revision revision = 0;
    std::string value;
};

// How this host gets news of the store, and passes them on: the leader watches the store, the
// others ask it, or its deputy while it does not answer, and at last watch for themselves.
struct relay_table
{
    std::mutex lock;
    // All guarded by lock.
    std::vector<waiting_host> waiting;
    bool flushPlanned = false;
    // Long values in their short form, by key.
    std::map<std::string, packed_item> packed;
    instant nextOwnersRead{};
    // Who passed on news last, or empty.
    host_id source;
    // Hosts that had no news, or did not answer.
    std::map<host_id, host_suspicion> doubts;
    // Calls in a row that found no connection to the source.
    std::uint32_t unconnected = 0;
    // Until then a host that has just started waits for news of the others before it reads all
    // from the store itself.
    instant patientUntil{};
    instant nextHostsRead{};
};

struct repeats_table
{
    std::mutex lock;
    // Guarded by lock.
    std::map<service_name, repeat_budget> services;
};

// Work that callers asked for by key, in microseconds.
using work_by_key = std::map<key_number, double>;

// What all hosts reported of a service's keys. Older work counts less: amounts are kept as
// multiples of a unit that grows with time.
struct reported_work
{
    work_by_key keys;
    instant unitSince{};
    // When the load was last worked out from this.
    instant usedAt{};
};

struct work_table
{
    std::mutex lock;
    // All guarded by lock. Since the last report to the leader.
    std::map<service_name, work_by_key> asked;
    // Smoothed latency of each route at this host, for what a request will bring.
    std::map<route_name, duration> typical;
    // At the leader: what the hosts reported, and what that comes to.
    std::map<service_name, reported_work> reported;
    std::map<service_name, key_load> heard;
};

// What the leader keeps of one keyed service.
struct kept_service
{
    ownership_manager keeper;
    // The table's revision as this leader read or wrote it last.
    store_revision revision = 0;
    // True from a write until its end is known.
    bool writing = false;
    // Since when the table has slices marked as held that the store shows as pending.
    std::optional<instant> behindSince;
};

struct lease_table
{
    std::mutex lock;
    // All guarded by lock.
    store_lease lease = 0;
    // This host's lease holds at the store until then at least.
    instant leaseEnds{};
    bool announced = false;
    bool leaving = false;
    bool busy = false;
    // The services that this host keeps while it leads.
    std::map<service_name, kept_service> kept;
    std::set<service_name> loading;
};

struct router_process
{
    settings_table settings;
    std::string settingsPath;
    member_host self;

    std::unique_ptr<worker_pool> workers;
    site_store store;
    site_store watches;
    http_client servers;
    peer_client peers;
    http_server callerServer;
    http_server readyServer;
    http_server adminServer;
    peer_server peerServer;
    counters counted;

    routes_table routes;
    directory_table directory;
    ownership_tables ownership;
    members_table members;
    group_tables groups;
    repeats_table repeats;
    work_table work;
    lease_table leadership;
    relay_table relay;
    // Never changed after the start.
    std::vector<std::shared_ptr<store_follower>> followers;

    // When the store last answered this host, in microseconds of its clock.
    std::atomic<std::int64_t> storeSeenAt = 0;
    // When a call on the store last failed, likewise.
    std::atomic<std::int64_t> storeTroubleAt = std::numeric_limits<std::int64_t>::min() / 2;
    // True while another host tells this one what is in the store, and before the first news.
    std::atomic<bool> relayed = true;
    std::atomic<bool> draining = false;
    std::atomic<bool> stopping = false;
    std::atomic<permit_number> nextPermit = 1;
};

// The hosts that may keep the group's queue, the first choice first. Called with the lock.
auto keepersOf(members_table &members, const group_id &group) -> const std::vector<host_id> &;

auto currentSettings(const router_process &router) -> wire::HostSettings;
auto currentRoutes(router_process &router) -> shared_routes;

// Runs work again and again until the process stops.
auto repeatWhileRunning(router_process &router, duration period, void (*work)(router_process &))
        -> void;

} // namespace parsleyloft
