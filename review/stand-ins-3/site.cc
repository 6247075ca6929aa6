// What the scripts of this review share.
#include "site.hh"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using parsleyloft::endpoint;

namespace {

auto toAddress(std::uint16_t port) -> sockaddr_in
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

auto quoted(const std::string &text) -> std::string
{
    return "\"" + text + "\"";
}

auto addressText(std::uint16_t port) -> std::string
{
    return quoted("127.0.0.1:" + std::to_string(port));
}

} // namespace

record::record(const std::string &path)
    : file(path)
    , startedAt(
              std::chrono::time_point_cast<parsleyloft::duration>(std::chrono::steady_clock::now()))
{ }

auto elapsedMs(const record &of) -> long
{
    const auto passed = std::chrono::steady_clock::now() - of.startedAt;
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(passed).count());
}

auto write(record &to, const std::string &line) -> void
{
    const std::lock_guard guard(to.lock);
    to.file << elapsedMs(to) << " ms " << line << "\n";
    to.file.flush();
}

// Below the ports that the system gives to outgoing connections, so that none takes them meanwhile.
auto findPorts(std::size_t count) -> std::vector<std::uint16_t>
{
    constexpr std::uint32_t firstPort = 12'000;
    constexpr std::uint32_t portCount = 20'000;
    static std::uint32_t next = std::random_device{}() % portCount;
    std::vector<std::uint16_t> ports;
    for (std::uint32_t tried = 0; ports.size() < count; ++tried) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        const auto handle = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto address = toAddress(port);
        if (handle < 0 || tried == portCount)
            std::exit(static_cast<int>(verdict::NotRun));
        if (::bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
            ports.push_back(port);
        ::close(handle);
    }
    return ports;
}

auto loopback(std::uint16_t port) -> endpoint
{
    return {"127.0.0.1", port};
}

auto allowDescriptors(std::size_t count) -> bool
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::max(limit.rlim_cur, std::min<rlim_t>(limit.rlim_max, count));
    ::setrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur >= count;
}

auto startHost(const std::string &directory, const std::string &id, const std::string &zone,
               const machine &size, std::uint16_t storePort) -> host
{
    const auto ports = findPorts(4);
    host started;
    started.id = id;
    started.callerPort = ports[0];
    started.readyPort = ports[1];
    started.peerPort = ports[2];
    started.metricsPort = ports[3];
    started.settingsPath = directory + "/" + id + ".json";
    std::ofstream(started.settingsPath)
            << "{\"host_id\":" << quoted(id) << ",\"failure_domain\":" << quoted(zone)
            << ",\"caller_address\":" << addressText(started.callerPort)
            << ",\"ready_address\":" << addressText(started.readyPort)
            << ",\"peer_address\":" << addressText(started.peerPort)
            << ",\"metrics_address\":" << addressText(started.metricsPort)
            << ",\"store_address\":" << addressText(storePort) << ",\"first_start\":true"
            << ",\"size\":{\"cpu_share\":" << size.cpuShare << ",\"memory_mb\":" << size.memoryMb
            << ",\"max_descriptors\":" << size.maxDescriptors << "}"
            << ",\"bounds\":{\"drain_ms\":2000,\"grace_s\":6,\"hold_max_ms\":10000,"
               "\"repeat_ratio\":0.2,\"repeat_slack\":60,\"repeat_window_s\":10}}";
    const auto output = directory + "/" + id + ".out";
    started.process = ::fork();
    if (started.process == 0) {
        // The host ends with the script, also when that is ended from outside.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("PARSLEYLOFT_BOOT", started.settingsPath.c_str(), 1);
        const auto file = ::open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        constexpr int lastInherited = 1024;
        for (int handle = STDERR_FILENO + 1; handle < lastInherited; ++handle)
            ::close(handle);
        const rlimit limit{size.maxDescriptors, size.maxDescriptors};
        ::setrlimit(RLIMIT_NOFILE, &limit);
        ::execl("target/command/parsleyloft", "target/command/parsleyloft", "route", nullptr);
        ::_exit(127);
    }
    return started;
}

auto isRunning(const host &of) -> bool
{
    siginfo_t info{};
    return of.process > 0
            && ::waitid(P_PID, static_cast<id_t>(of.process), &info, WEXITED | WNOHANG | WNOWAIT)
            == 0
            && info.si_pid == 0;
}

auto endHost(host &of) -> void
{
    if (of.process <= 0)
        return;
    ::kill(of.process, SIGCONT);
    ::kill(of.process, SIGKILL);
    ::waitpid(of.process, nullptr, 0);
    of.process = 0;
}

auto residentBytes(const host &of) -> std::size_t
{
    std::ifstream status("/proc/" + std::to_string(of.process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:"))
            return std::stoul(line.substr(6)) * 1024;
    }
    return 0;
}

auto unreadBytes(const host &of, const std::set<std::uint16_t> &serverPorts) -> std::size_t
{
    std::ifstream connections("/proc/net/tcp");
    std::string line;
    std::getline(connections, line);
    std::size_t unread = 0;
    while (std::getline(connections, line)) {
        unsigned number = 0;
        unsigned ownAddress = 0;
        unsigned ownPort = 0;
        unsigned otherAddress = 0;
        unsigned otherPort = 0;
        unsigned state = 0;
        unsigned long toSend = 0;
        unsigned long received = 0;
        if (std::sscanf(line.c_str(), " %u: %x:%x %x:%x %x %lx:%lx", &number, &ownAddress, &ownPort,
                        &otherAddress, &otherPort, &state, &toSend, &received)
            != 8)
            continue;
        constexpr unsigned established = 1;
        const auto fromCaller = ownPort == of.callerPort;
        const auto fromServer = serverPorts.contains(static_cast<std::uint16_t>(otherPort));
        if (state == established && (fromCaller || fromServer))
            unread += received;
    }
    return unread;
}

auto headerOf(const std::string &head, const std::string &name) -> std::string
{
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

auto connectTo(std::uint16_t port, int receiveBuffer) -> int
{
    const auto handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (handle < 0)
        return -1;
    if (receiveBuffer > 0)
        ::setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    const auto address = toAddress(port);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(handle);
        return -1;
    }
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const timeval limit{3, 0};
    ::setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    return handle;
}

namespace {

// Sends a request and waits for the whole answer. Returns its status, or 0 if there is none.
auto exchangeOn(int handle, const std::string &request) -> int
{
    (void)!::send(handle, request.data(), request.size(), MSG_NOSIGNAL);
    std::string answer;
    auto expected = std::string::npos;
    while (expected == std::string::npos || answer.size() < expected) {
        char bytes[4096];
        const auto count = ::recv(handle, bytes, sizeof(bytes), 0);
        if (count <= 0)
            break;
        answer.append(bytes, static_cast<std::size_t>(count));
        const auto head = answer.find("\r\n\r\n");
        if (head != std::string::npos)
            expected = head + 4
                    + std::strtoul(headerOf(answer, "Content-Length").c_str(), nullptr, 10);
    }
    return answer.size() >= 12 && expected != std::string::npos ? std::atoi(answer.c_str() + 9) : 0;
}

auto limitAnswer(int handle, int limitMs) -> void
{
    const timeval limit{limitMs / 1000, limitMs % 1000 * 1000};
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

auto callAgainAndAgain(ordinary_callers &callers, std::uint16_t port, std::size_t number,
                       std::string (*requestOf)(const std::string &id)) -> void
{
    constexpr int answerLimitMs = 5000;
    constexpr auto pause = std::chrono::milliseconds(100);
    auto handle = -1;
    for (std::size_t sent = 0; !callers.done; ++sent) {
        if (handle < 0)
            handle = connectTo(port);
        if (handle < 0) {
            std::this_thread::sleep_for(pause);
            continue;
        }
        limitAnswer(handle, answerLimitMs);
        const auto id = "usual-" + std::to_string(number) + "-" + std::to_string(sent);
        const auto status = exchangeOn(handle, requestOf(id));
        {
            const std::lock_guard guard(callers.lock);
            ++callers.answers[status];
        }
        // A refused caller comes back on a new connection.
        if (status != 200) {
            ::close(handle);
            handle = -1;
        }
        std::this_thread::sleep_for(pause);
    }
    if (handle >= 0)
        ::close(handle);
}

} // namespace

auto callOnce(std::uint16_t port, const std::string &request, int limitMs) -> int
{
    const auto handle = connectTo(port);
    if (handle < 0)
        return 0;
    limitAnswer(handle, limitMs);
    const auto status = exchangeOn(handle, request);
    ::close(handle);
    return status;
}

auto watch(watched_host &watched, record &log) -> void
{
    constexpr std::size_t bytesPerMegabyte = std::size_t(1024) * 1024;
    if (watched.exceeded)
        return;
    if (!isRunning(watched.process)) {
        watched.exceeded = true;
        write(log, watched.process.id + " has ended by itself");
        return;
    }
    const auto resident = residentBytes(watched.process);
    const auto unread = unreadBytes(watched.process, watched.serverPorts);
    watched.peak = std::max(watched.peak, resident + unread);
    write(log,
          watched.process.id + ": " + std::to_string(resident / bytesPerMegabyte) + " MB resident, "
                  + std::to_string(unread / bytesPerMegabyte) + " MB received and not read");
    if (resident + unread <= watched.size.memoryMb * bytesPerMegabyte)
        return;
    watched.exceeded = true;
    write(log,
          watched.process.id + " exceeds " + std::to_string(watched.size.memoryMb)
                  + " MB: the platform kills the process");
    ::kill(watched.process.process, SIGKILL);
}

auto beginWatch(watched_host &watched, record &log) -> void
{
    watched.sampler = std::thread([&watched, &log] {
        while (!watched.done && !watched.exceeded) {
            watch(watched, log);
            std::this_thread::sleep_for(std::chrono::milliseconds(250));
        }
    });
}

auto endWatch(watched_host &watched) -> void
{
    watched.done = true;
    watched.sampler.join();
}

auto startCallers(ordinary_callers &callers, std::uint16_t port, std::size_t count,
                  std::string (*requestOf)(const std::string &id)) -> void
{
    for (std::size_t number = 0; number < count; ++number)
        callers.threads.emplace_back([&callers, port, number, requestOf] {
            callAgainAndAgain(callers, port, number, requestOf);
        });
}

auto endCallers(ordinary_callers &callers) -> void
{
    callers.done = true;
    for (auto &thread : callers.threads)
        thread.join();
}

auto configurationOf(const std::string &kind, int timeoutMs, int targetMs) -> std::string
{
    return "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"shop.example\",\"prefix\":"
           "\"/shop/\",\"kind\":"
            + quoted(kind) + ",\"timeout_ms\":" + std::to_string(timeoutMs)
            + ",\"target_ms\":" + std::to_string(targetMs)
            + ",\"priority\":2,\"service\":\"shop\",\"max_attempts\":2}],\"services\":[{\"name\":"
              "\"shop\",\"health_path\":\"/health\",\"max_connections\":440,\"warmup_s\":3.0,"
              "\"cold_per_s\":7.2}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
              "67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

auto entryOf(std::uint16_t port, std::uint32_t slots, std::int64_t bornMs) -> std::string
{
    return "{\"service\":\"shop\",\"address\":" + addressText(port)
            + ",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" + std::to_string(slots)
            + ",\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1,\"born\":"
            + std::to_string(bornMs) + "}";
}

} // namespace review
