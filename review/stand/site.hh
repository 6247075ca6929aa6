// A small deployment for the scripts of this review: the store and the backend servers are
// stand-ins in this process, the entry hosts are processes of the built program. All addresses are
// loopback addresses on free ports.
#pragma once

#include "lab/store_stand_in.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using namespace parsleyloft;

inline constexpr std::size_t keyCount = 65536;

// The file record.txt of a case: what was sent, answered and run, with the time since the start.
auto openRecord(const std::string &path) -> void;
auto record(const std::string &line) -> void;
auto secondsSinceStart() -> double;

// Ends the run with the exit code of a case that could not run.
[[noreturn]] auto giveUp(const std::string &reason) -> void;

// True when the environment variable is 0.
auto isOff(const char *variable) -> bool;

struct server_options
{
    std::string id;
    std::string service;
    std::string zone;
    bool keyed = false;
    int slots = 6;
    int queue = 24;
    // How long a request works.
    std::chrono::milliseconds work{160};
};

// A request that a server works on.
struct running_request
{
    std::string id;
    std::size_t key = 0;
};

// A connection that a server has accepted, and the bytes of its last answer.
struct server_connection
{
    int socket = -1;
    std::string lastAnswer;
};

struct server;

// Called before a request is handled. Returns false if it has taken over the connection, which is
// closed then.
using request_hook = std::function<bool(server &, server_connection &, const std::string &path)>;

// A backend server that follows the pages: ids, grants with fences, releases that are answered when
// the work on the keys has ended.
struct server
{
    server_options options;
    endpoint address;
    std::int64_t born = 0;
    int listener = -1;
    request_hook hook;

    std::mutex lock;
    std::condition_variable changed;
    // All guarded by lock. By key: the highest fence seen, the end of the hold, and the end that
    // the hold had before a release.
    std::vector<std::uint64_t> fences = std::vector<std::uint64_t>(keyCount, 0);
    std::vector<instant> heldUntil = std::vector<instant>(keyCount);
    std::vector<instant> grantEnds = std::vector<instant>(keyCount);
    std::vector<running_request> running;
    int waiting = 0;
    std::set<int> connections;
    bool crashed = false;
};

struct host
{
    std::string name;
    std::string zone;
    endpoint callers;
    endpoint ready;
    std::string settingsPath;
    std::string outputPath;
    pid_t process = 0;
};

struct site_options
{
    std::vector<server_options> servers;
    std::vector<std::string> zones;
    int hosts = 10;
    // Hosts that are started later.
    int spareHosts = 0;
};

struct site
{
    explicit site(const site_options &options);
    site(const site &) = delete;
    auto operator=(const site &) -> site & = delete;

    std::string directory;
    std::unique_ptr<worker_pool> workers;
    store_stand_in store;
    endpoint storeAddress;
    // Guards the list of servers.
    std::mutex lock;
    std::vector<std::shared_ptr<server>> servers;
    std::vector<host> hosts;
};

auto listServers(site &deployment) -> std::vector<std::shared_ptr<server>>;

// Called by the main thread only.
auto startHost(host &started) -> void;
auto killHost(host &killed) -> void;

// Ends a server without notice: its connections break, and it holds and runs nothing any more.
auto crashServer(server &ended) -> void;

// Starts a server again under its id and at its address, as a new incarnation that knows nothing of
// before and is cold. It serves at once and writes its entry after the delay.
auto restartServer(site &deployment, std::size_t index, std::chrono::milliseconds entryDelay)
        -> void;

// Kills the hosts and ends this process.
[[noreturn]] auto finish(site &deployment, int code) -> void;

// The entry of a server in the store, with how long it remains cold.
auto serverEntry(const server &entry, int warmupLeftMs = 0) -> std::string;

// Waits until all hosts that were started are ready and each key of the keyed service is held.
// Gives up otherwise.
auto awaitServing(site &deployment) -> void;

// The name of the leading host, as the store has it, or an empty string.
auto leaderOf(site &deployment) -> std::string;

struct caller_request
{
    std::string method = "GET";
    std::string path = "/board/1";
    std::string id;
    std::optional<std::size_t> key;
    int deadlineMs = 2000;
};

struct caller_answer
{
    // 0 when the connection ended without an answer, -1 when there was none.
    int status = 0;
    std::string body;
};

// Sends a request over a connection of its own.
auto callHost(const host &to, const caller_request &request) -> caller_answer;

// Callers that send requests of the keyed service at a rate until they are stopped.
struct load
{
    load(site &deployment, double perSecond, const std::string &path);
    ~load();
    load(const load &) = delete;
    auto operator=(const load &) -> load & = delete;

    std::atomic<bool> stopping = false;
    std::atomic<std::size_t> sent = 0;
    std::atomic<std::size_t> succeeded = 0;
    std::vector<std::thread> threads;
};

// Watches what the servers hold and run, and keeps the breaches of the rule of one owner.
struct owner_watch
{
    explicit owner_watch(site &deployment);
    ~owner_watch();
    owner_watch(const owner_watch &) = delete;
    auto operator=(const owner_watch &) -> owner_watch & = delete;

    site &deployment;
    std::atomic<bool> stopping = false;
    std::thread thread;
    std::mutex lock;
    // Guarded by lock.
    std::vector<std::string> breaches;
};

// Called by a server when it has taken a grant.
using grant_observer = std::function<void(server &, std::size_t from, std::size_t to)>;
auto onGrant(grant_observer observer) -> void;

auto sendAll(int socket, const std::string &bytes) -> bool;

} // namespace review
