// What the scripts of this review share: a store, one entry host as a process of its own, started
// with the command of the deploy file, and what can be seen of it from outside.
#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

// Exit codes of a script.
enum class verdict : int { Held = 0, Broken = 1, NotRun = 2 };

// The file record.txt of a case. Each line begins with the milliseconds since the start.
struct record
{
    explicit record(const std::string &path);

    std::mutex lock;
    std::ofstream file;
    parsleyloft::instant startedAt;
};

auto write(record &to, const std::string &line) -> void;

// Milliseconds since the record was begun.
auto elapsedMs(const record &of) -> long;

// Free ports of the loopback address. They are released before they are returned.
auto findPorts(std::size_t count) -> std::vector<std::uint16_t>;

auto loopback(std::uint16_t port) -> parsleyloft::endpoint;

// Raises the limit of open descriptors as far as it is allowed. Returns false if it stays below.
auto allowDescriptors(std::size_t count) -> bool;

// The size of a machine, as the settings state it.
struct machine
{
    std::uint32_t memoryMb = 0;
    std::uint32_t maxDescriptors = 0;
    double cpuShare = 0.2;
};

struct host
{
    std::string id;
    pid_t process = 0;
    std::uint16_t callerPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t metricsPort = 0;
    std::string settingsPath;
};

// Writes the settings of deploy/host.json with the values of a small deployment and starts the
// host with `target/command/parsleyloft route`.
auto startHost(const std::string &directory, const std::string &id, const std::string &zone,
               const machine &size, std::uint16_t storePort) -> host;

// True while the process of the host runs.
auto isRunning(const host &of) -> bool;

// Ends the process at once, and waits for its end.
auto endHost(host &of) -> void;

// Memory of the process in bytes.
auto residentBytes(const host &of) -> std::size_t;

// Bytes that the host has received and not yet read: from its callers, whose connections end at its
// port, and from the servers on these ports.
auto unreadBytes(const host &of, const std::set<std::uint16_t> &serverPorts) -> std::size_t;

// The value of a header, or nothing.
auto headerOf(const std::string &head, const std::string &name) -> std::string;

// Opens a connection. Returns -1 if that fails. A small receive buffer stands for a caller with a
// poor link.
auto connectTo(std::uint16_t port, int receiveBuffer = 0) -> int;

// Sends a request on a connection of its own and waits for the whole answer. Returns its status, or
// 0 if there is none.
auto callOnce(std::uint16_t port, const std::string &request, int limitMs) -> int;

// Ends the host if it holds more than its machine has, as the platform does: its memory, and what
// it has received and not yet read. Records both.
struct watched_host
{
    host process;
    machine size;
    std::set<std::uint16_t> serverPorts;
    std::size_t peak = 0;
    std::atomic<bool> exceeded = false;
    std::atomic<bool> done = false;
    std::thread sampler;
};

auto watch(watched_host &watched, record &log) -> void;

// Watches in a thread of its own until endWatch.
auto beginWatch(watched_host &watched, record &log) -> void;
auto endWatch(watched_host &watched) -> void;

// Ordinary callers, each with a connection that it keeps, one request after the other.
struct ordinary_callers
{
    std::mutex lock;
    // Guarded by lock. How many requests were answered with each status. 0: the connection ended
    // without any byte of an answer.
    std::map<int, int> answers;
    std::atomic<bool> done = false;
    std::vector<std::thread> threads;
};

auto startCallers(ordinary_callers &callers, std::uint16_t port, std::size_t count,
                  std::string (*requestOf)(const std::string &id)) -> void;

auto endCallers(ordinary_callers &callers) -> void;

// A configuration with one route to one service without keys.
auto configurationOf(const std::string &kind, int timeoutMs, int targetMs) -> std::string;

// An entry of a server of that service.
auto entryOf(std::uint16_t port, std::uint32_t slots, std::int64_t bornMs) -> std::string;

} // namespace review
