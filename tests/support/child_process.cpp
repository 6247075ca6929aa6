// Child processes of tests: port ranges for them, starting them, and waiting for conditions.
#include "support/child_process.h"

#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace parsleyloft {

namespace {

constexpr auto pollPeriod = std::chrono::milliseconds(50);
constexpr auto waitTimeout = std::chrono::seconds(60);
constexpr std::uint16_t portsPerRange = 100;

// Returns -1 if the port is in use.
auto bindPort(int port, bool reusesAddress) -> int
{
    const auto bound = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = reusesAddress ? 1 : 0;
    setsockopt(bound, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(bound, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0)
        return bound;
    close(bound);
    return -1;
}

// False if one of the ports is in use, as by a process that an interrupted test left behind.
auto areFree(int firstPort, int count) -> bool
{
    for (int port = firstPort; port < firstPort + count; ++port) {
        const auto bound = bindPort(port, true);
        if (bound < 0)
            return false;
        close(bound);
    }
    return true;
}

} // namespace

port_claim::port_claim()
{
    constexpr int base = 10000;
    constexpr int ranges = 200;
    for (int step = 0; step < ranges; ++step) {
        const auto first = base + (getpid() + step) % ranges * portsPerRange;
        const auto claim = bindPort(first + portsPerRange - 1, false);
        if (claim < 0)
            continue;
        if (areFree(first, portsPerRange - 1)) {
            firstPort = static_cast<std::uint16_t>(first);
            socket = claim;
            return;
        }
        close(claim);
    }
    throw std::runtime_error("no range of ports is free");
}

port_claim::~port_claim()
{
    close(socket);
}

auto spawnProcess(const std::string &program, std::vector<std::string> arguments,
                  const std::string &outputPath, const std::string &errorPath) -> pid_t
{
    arguments.insert(arguments.begin(), program);
    std::vector<char *> values;
    for (auto &argument : arguments)
        values.push_back(argument.data());
    values.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int append = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, 1, outputPath.c_str(), append, 0600);
    posix_spawn_file_actions_addopen(&actions, 2, errorPath.c_str(), append, 0600);
    // A socket that a child inherits stays open after this process has closed it.
    constexpr int firstInherited = 3;
    posix_spawn_file_actions_addclosefrom_np(&actions, firstInherited);
    pid_t pid = 0;
    const auto failed =
            posix_spawn(&pid, program.c_str(), &actions, nullptr, values.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error(program + ": cannot be started");
    return pid;
}

auto waitUntil(const std::string &what, const std::function<bool()> &condition) -> void
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            throw std::runtime_error("timed out waiting until " + what);
        std::this_thread::sleep_for(pollPeriod);
    }
}

} // namespace parsleyloft
