// A small deployment for the scripts of this review.
#include "stand/site.hh"

#include "codec/json.h"
#include "generated/site.pb.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr auto program = "target/command/parsleyloft";
constexpr auto hostOfRoutes = "plugs.example";

std::mutex recordLock;
std::ofstream recordFile;
const auto startOfRun = std::chrono::steady_clock::now();
grant_observer grantObserver;

auto toText(const endpoint &address) -> std::string
{
    return address.address + ":" + std::to_string(address.port);
}

auto toSocketAddress(const endpoint &address) -> sockaddr_in
{
    sockaddr_in converted{};
    converted.sin_family = AF_INET;
    converted.sin_port = htons(address.port);
    inet_pton(AF_INET, address.address.c_str(), &converted.sin_addr);
    return converted;
}

// Returns -1 when the address is taken.
auto listenOn(const endpoint &address) -> int
{
    const auto wanted = toSocketAddress(address);
    const auto handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(handle, reinterpret_cast<const sockaddr *>(&wanted), sizeof(wanted)) == 0
        && ::listen(handle, 512) == 0)
        return handle;
    ::close(handle);
    return -1;
}

// A listening socket on a free port, below those that the kernel gives to outgoing connections.
auto listenOnFreePort(endpoint &address) -> int
{
    constexpr int firstPort = 10000;
    constexpr int portCount = 20000;
    static int next = ::getpid() * 97 % portCount;
    for (int tries = 0; tries < portCount; ++tries) {
        next = (next + 1) % portCount;
        address = {"127.0.0.1", static_cast<std::uint16_t>(firstPort + next)};
        const auto handle = listenOn(address);
        if (handle >= 0)
            return handle;
    }
    giveUp("no free port");
}

// Ports that nothing listened on when they were chosen, all different.
auto freePorts(std::size_t count) -> std::vector<endpoint>
{
    std::vector<endpoint> chosen(count);
    std::vector<int> handles;
    for (auto &address : chosen)
        handles.push_back(listenOnFreePort(address));
    for (const auto handle : handles)
        ::close(handle);
    return chosen;
}

// One message as read from a connection.
struct message
{
    std::string head;
    std::string body;
};

auto headerOf(const message &read, const std::string &name) -> std::string
{
    auto at = read.head.find("\r\n");
    while (at != std::string::npos && at + 2 < read.head.size()) {
        const auto begin = at + 2;
        at = read.head.find("\r\n", begin);
        const auto line = read.head.substr(begin, at - begin);
        const auto colon = line.find(':');
        if (colon == std::string::npos || !isSameHeader(line.substr(0, colon), name))
            continue;
        const auto value = line.find_first_not_of(' ', colon + 1);
        return value == std::string::npos ? std::string() : line.substr(value);
    }
    return {};
}

// Reads one message whose body, if any, has a length. Returns false when the connection ends.
auto readMessage(int socket, std::string &buffer, message &read) -> bool
{
    std::array<char, 16384> part{};
    const auto readMore = [&] {
        const auto count = ::recv(socket, part.data(), part.size(), 0);
        if (count > 0)
            buffer.append(part.data(), static_cast<std::size_t>(count));
        return count > 0;
    };
    auto end = buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!readMore())
            return false;
        end = buffer.find("\r\n\r\n");
    }
    read.head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    const auto length = std::strtoul(headerOf(read, "Content-Length").c_str(), nullptr, 10);
    while (buffer.size() < length) {
        if (!readMore())
            return false;
    }
    read.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

struct server_answer
{
    int status = 200;
    std::string headers;
    std::string body;
};

auto encodeAnswer(const server_answer &answer, const std::string &id) -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(answer.status) + " X\r\n";
    if (!id.empty())
        text += "X-Request-Id: " + id + "\r\n";
    return text + "Keep-Alive: timeout=10\r\n" + answer.headers
            + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

auto grantKeys(server &self, const message &request) -> server_answer
{
    wire::KeyGrant grant;
    if (!readLenientJson(request.body, grant) || grant.to() >= keyCount
        || grant.from() > grant.to())
        return {400, {}, {}};
    const auto fence = static_cast<std::uint64_t>(grant.fence());
    const auto range = std::to_string(grant.from()) + "-" + std::to_string(grant.to());
    {
        const std::lock_guard guard(self.lock);
        if (self.crashed)
            return {503, {}, {}};
        for (auto key = grant.from(); key <= grant.to(); ++key) {
            if (self.fences[key] > fence) {
                record(self.options.id + " refuses a grant of " + range + " with fence "
                       + std::to_string(fence));
                return {409, {}, {}};
            }
        }
        const auto until = monotonicNow() + std::chrono::milliseconds(grant.hold_ms());
        const auto renewal = self.heldUntil[grant.from()] > monotonicNow();
        for (auto key = grant.from(); key <= grant.to(); ++key) {
            self.fences[key] = fence;
            self.heldUntil[key] = until;
            self.grantEnds[key] = until;
        }
        if (!renewal)
            record(self.options.id + " takes a grant of " + range + " with fence "
                   + std::to_string(fence));
    }
    if (grantObserver)
        grantObserver(self, grant.from(), grant.to());
    return {};
}

auto releaseKeys(server &self, const message &request) -> server_answer
{
    wire::KeyRelease release;
    if (!readLenientJson(request.body, release) || release.to() >= keyCount)
        return {400, {}, {}};
    const auto fence = static_cast<std::uint64_t>(release.fence());
    const auto range = std::to_string(release.from()) + "-" + std::to_string(release.to());
    std::unique_lock guard(self.lock);
    if (self.crashed)
        return {503, {}, {}};
    for (auto key = release.from(); key <= release.to(); ++key) {
        self.fences[key] = std::max(self.fences[key], fence);
        self.heldUntil[key] = {};
    }
    const auto works = [&] {
        return std::any_of(self.running.begin(), self.running.end(), [&](const auto &one) {
            return one.key >= release.from() && one.key <= release.to();
        });
    };
    record(self.options.id + " releases " + range + " with fence " + std::to_string(fence)
           + (works() ? ", works on them" : ""));
    self.changed.wait(guard, [&] { return !works(); });
    record(self.options.id + " has ended its work on " + range + " and answers the release");
    return {200, "X-Handover: " + self.options.id + "\r\n", {}};
}

auto runRequest(server &self, const message &request) -> server_answer
{
    const server_answer notExecuted{421, "X-Not-Executed: 1\r\n", {}};
    const auto id = headerOf(request, "X-Request-Id");
    const auto key = std::strtoul(headerOf(request, "X-Shard-Key").c_str(), nullptr, 10);
    const auto holds = [&] {
        return !self.options.keyed || (key < keyCount && self.heldUntil[key] > monotonicNow());
    };
    std::unique_lock guard(self.lock);
    const auto slots = static_cast<std::size_t>(self.options.slots);
    if (self.running.size() >= slots) {
        if (self.waiting >= self.options.queue)
            return {503, "X-Not-Executed: 1\r\n", {}};
        ++self.waiting;
        self.changed.wait(guard, [&] { return self.running.size() < slots; });
        --self.waiting;
    }
    if (self.crashed || !holds())
        return notExecuted;
    self.running.push_back({id, key});
    record(self.options.id + " begins " + id + " for key " + std::to_string(key));
    const auto begun = monotonicNow();
    guard.unlock();
    std::this_thread::sleep_for(self.options.work);
    guard.lock();
    const auto expired = self.options.keyed && self.grantEnds[key] < begun + self.options.work
            && self.heldUntil[key] != instant();
    std::erase_if(self.running, [&](const auto &one) { return one.id == id; });
    self.changed.notify_all();
    const auto stamp = "X-Upstream-Stamp: " + self.options.id + "\r\n";
    return {expired ? 500 : 200, stamp, "answer to " + id};
}

auto serveConnection(const std::shared_ptr<server> &shared, int socket) -> void
{
    auto &self = *shared;
    {
        const std::lock_guard guard(self.lock);
        if (!self.crashed)
            self.connections.insert(socket);
        else
            ::shutdown(socket, SHUT_RDWR);
    }
    server_connection connection{socket, {}};
    std::string buffer;
    message request;
    while (readMessage(socket, buffer, request)) {
        const auto begin = request.head.find(' ') + 1;
        const auto path = request.head.substr(begin, request.head.find(' ', begin) - begin);
        if (self.hook && !self.hook(self, connection, path))
            break;
        const auto id = headerOf(request, "X-Request-Id");
        const auto expected = headerOf(request, "X-Expect-Instance");
        server_answer answer;
        if (!expected.empty() && expected != self.options.id)
            answer = {421, "X-Instance-Id: " + self.options.id + "\r\n", {}};
        else if (path == "/grant")
            answer = grantKeys(self, request);
        else if (path == "/release")
            answer = releaseKeys(self, request);
        else if (path == "/health")
            answer = {200, "X-Instance-Id: " + self.options.id + "\r\n", {}};
        else
            answer = runRequest(self, request);
        connection.lastAnswer = encodeAnswer(answer, id);
        if (!sendAll(socket, connection.lastAnswer))
            break;
    }
    const std::lock_guard guard(self.lock);
    self.connections.erase(socket);
    ::close(socket);
}

auto startServer(const std::shared_ptr<server> &started) -> void
{
    started->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
    std::thread([started] {
        while (true) {
            const auto socket = ::accept4(started->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([started, socket] { serveConnection(started, socket); }).detach();
        }
    }).detach();
}

// The keyed service "board" and the service "plan".
auto configuration() -> std::string
{
    return R"({"version":7,"routes":[)"
           R"({"name":"lookup","host":"plugs.example","prefix":"/board/","kind":"safe",)"
           R"("timeout_ms":1000,"target_ms":500,"priority":2,"max_attempts":2,"service":"board"},)"
           R"({"name":"toggle","host":"plugs.example","prefix":"/toggle/","kind":"unsafe",)"
           R"("timeout_ms":1000,"target_ms":500,"priority":2,"max_attempts":2,"service":"board"},)"
           R"({"name":"assign","host":"plugs.example","prefix":"/plan/","kind":"unsafe",)"
           R"("timeout_ms":1200,"target_ms":600,"priority":1,"max_attempts":2,"service":"plan"}],)"
           R"("services":[{"name":"board","cold_per_s":8.3,"warmup_s":3.0,"max_connections":120,)"
           R"("keyed":true,"key_warmup_s":5.0,"health_path":"/health"},)"
           R"({"name":"plan","cold_per_s":8.3,"warmup_s":3.0,"max_connections":120,)"
           R"("health_path":"/health"}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// deploy/host.json, filled in with the figures of the site kst-plugdesk.
auto settingsOf(const host &entry, const std::vector<endpoint> &ports, const endpoint &store)
        -> std::string
{
    return R"({"host_id":")" + entry.name + R"(","failure_domain":")" + entry.zone
            + R"(","caller_address":")" + toText(ports[0]) + R"(","ready_address":")"
            + toText(ports[1]) + R"(","peer_address":")" + toText(ports[2])
            + R"(","metrics_address":")" + toText(ports[3]) + R"(","store_address":")"
            + toText(store)
            + R"(","size":{"cpu_share":0.2,"memory_mb":260,"max_descriptors":4100},)"
              R"("bounds":{"drain_ms":2000,"grace_s":6,"hold_max_ms":10000,"repeat_ratio":0.2,)"
              R"("repeat_slack":60,"repeat_window_s":10}})";
}

auto isReady(const host &entry) -> bool
{
    auto asked = entry;
    asked.callers = entry.ready;
    return callHost(asked, {"GET", "/ready", "ready", std::nullopt, 1000}).status == 200;
}

auto countHeldKeys(site &deployment) -> std::size_t
{
    std::size_t held = 0;
    for (const auto &entry : listServers(deployment)) {
        const std::lock_guard guard(entry->lock);
        const auto now = monotonicNow();
        held += static_cast<std::size_t>(
                std::count_if(entry->heldUntil.begin(), entry->heldUntil.end(),
                              [now](instant until) { return until > now; }));
    }
    return held;
}

auto addBreach(owner_watch &watch, const std::string &text) -> void
{
    record("BREACH " + text);
    const std::lock_guard guard(watch.lock);
    watch.breaches.push_back(text);
}

// Two servers hold a key for longer than half a second.
auto watchHolds(owner_watch &watch) -> void
{
    constexpr auto period = std::chrono::milliseconds(20);
    constexpr auto bound = std::chrono::milliseconds(500);
    std::vector<instant> sharedSince(keyCount);
    std::vector<bool> reported(keyCount);
    while (!watch.stopping) {
        std::this_thread::sleep_for(period);
        std::vector<std::string> holder(keyCount);
        std::vector<std::string> second(keyCount);
        const auto now = monotonicNow();
        for (const auto &entry : listServers(watch.deployment)) {
            if (!entry->options.keyed)
                continue;
            const std::lock_guard guard(entry->lock);
            for (std::size_t key = 0; key < keyCount; ++key) {
                if (entry->heldUntil[key] > now)
                    (holder[key].empty() ? holder : second)[key] = entry->options.id;
            }
        }
        std::size_t first = keyCount;
        std::size_t shared = 0;
        for (std::size_t key = 0; key < keyCount; ++key) {
            if (second[key].empty()) {
                sharedSince[key] = {};
                reported[key] = false;
                continue;
            }
            if (sharedSince[key] == instant())
                sharedSince[key] = now;
            if (reported[key] || now - sharedSince[key] <= bound)
                continue;
            reported[key] = true;
            first = std::min(first, key);
            ++shared;
        }
        if (shared > 0)
            addBreach(watch,
                      "OWNER: " + holder[first] + " and " + second[first] + " have held key "
                              + std::to_string(first) + " and " + std::to_string(shared - 1)
                              + " more for over half a second");
    }
}

// A server is given a key on which another one still works, before that one's hold would have run
// out.
auto checkGrant(owner_watch &watch, const server &receiver, std::size_t from, std::size_t to)
        -> void
{
    for (const auto &other : listServers(watch.deployment)) {
        if (other.get() == &receiver || !other->options.keyed)
            continue;
        std::string found;
        {
            const std::lock_guard guard(other->lock);
            for (const auto &one : other->running) {
                if (one.key >= from && one.key <= to && other->grantEnds[one.key] > monotonicNow())
                    found = "key " + std::to_string(one.key) + ", on which " + other->options.id
                            + " still works for " + one.id;
            }
        }
        if (!found.empty())
            addBreach(watch, "OWNER: " + receiver.options.id + " is given " + found);
    }
}

} // namespace

auto openRecord(const std::string &path) -> void
{
    recordFile.open(path, std::ios::trunc);
}

auto secondsSinceStart() -> double
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startOfRun).count();
}

auto record(const std::string &line) -> void
{
    const std::lock_guard guard(recordLock);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", secondsSinceStart());
    recordFile << time.data() << line << std::endl;
}

auto giveUp(const std::string &reason) -> void
{
    record("could not run: " + reason);
    std::cerr << "could not run: " << reason << std::endl;
    // The hosts end with this process.
    std::_Exit(2);
}

auto isOff(const char *variable) -> bool
{
    const auto *value = std::getenv(variable);
    return value != nullptr && std::string(value) == "0";
}

auto sendAll(int socket, const std::string &bytes) -> bool
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

auto onGrant(grant_observer observer) -> void
{
    grantObserver = std::move(observer);
}

auto serverEntry(const server &entry, int warmupLeftMs) -> std::string
{
    const auto &options = entry.options;
    return R"({"service":")" + options.service + R"(","address":")" + toText(entry.address)
            + R"(","zone":")" + options.zone + R"(","version":"v1","slots":)"
            + std::to_string(options.slots) + R"(,"state":"ready","warmup_left_ms":)"
            + std::to_string(warmupLeftMs) + R"(,"seq":1,"born":)" + std::to_string(entry.born)
            + "}";
}

auto startHost(host &started) -> void
{
    const auto output = ::open(started.outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    auto variable = "PARSLEYLOFT_BOOT=" + started.settingsPath;
    std::string path = "PATH=" + std::string(std::getenv("PATH"));
    std::vector<char *> environment{variable.data(), path.data(), nullptr};
    std::string name = program;
    std::string verb = "route";
    std::vector<char *> values{name.data(), verb.data(), nullptr};
    started.process = ::fork();
    if (started.process == 0) {
        // The host ends with the thread that started it, which is the main one.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(program, values.data(), environment.data());
        ::_exit(127);
    }
    ::close(output);
    if (started.process < 0)
        giveUp(std::string("cannot start ") + program);
    record("platform starts " + started.name);
}

auto killHost(host &killed) -> void
{
    if (killed.process == 0)
        return;
    ::kill(killed.process, SIGCONT);
    ::kill(killed.process, SIGKILL);
    ::waitpid(killed.process, nullptr, 0);
    killed.process = 0;
}

site::site(const site_options &options)
    : workers(startWorkers(2))
{
    auto name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        giveUp("no temporary folder");
    directory = name;
    storeAddress = freePorts(1).front();
    auto started = startStore(*workers, storeAddress);
    if (!started)
        giveUp("the store does not start");
    store = *started;
    putItem(store, "op/config", configuration());
    for (const auto &server : options.servers) {
        servers.push_back(std::make_shared<review::server>());
        servers.back()->options = server;
        servers.back()->listener = listenOnFreePort(servers.back()->address);
        startServer(servers.back());
        putItem(store, "servers/" + server.id, serverEntry(*servers.back()));
    }
    for (int index = 0; index < options.hosts + options.spareHosts; ++index) {
        const auto ports = freePorts(4);
        const auto zone = options.zones[static_cast<std::size_t>(index) % options.zones.size()];
        host entry{"edge-" + zone + "-" + std::to_string(index), zone, ports[0], ports[1], {}, {}};
        entry.settingsPath = directory + "/" + entry.name + ".json";
        entry.outputPath = directory + "/" + entry.name + ".out";
        std::ofstream(entry.settingsPath) << settingsOf(entry, ports, storeAddress);
        hosts.push_back(entry);
        if (index < options.hosts)
            startHost(hosts.back());
    }
}

auto listServers(site &deployment) -> std::vector<std::shared_ptr<server>>
{
    const std::lock_guard guard(deployment.lock);
    return deployment.servers;
}

auto crashServer(server &ended) -> void
{
    record(ended.options.id + " crashes");
    const std::lock_guard guard(ended.lock);
    ended.crashed = true;
    ::shutdown(ended.listener, SHUT_RDWR);
    ::close(ended.listener);
    for (const auto socket : ended.connections)
        ::shutdown(socket, SHUT_RDWR);
    std::fill(ended.heldUntil.begin(), ended.heldUntil.end(), instant());
    std::fill(ended.grantEnds.begin(), ended.grantEnds.end(), instant());
    ended.running.clear();
    ended.changed.notify_all();
}

auto restartServer(site &deployment, std::size_t index, std::chrono::milliseconds entryDelay)
        -> void
{
    const auto before = listServers(deployment)[index];
    const auto started = std::make_shared<server>();
    started->options = before->options;
    started->hook = before->hook;
    started->address = before->address;
    started->listener = listenOn(started->address);
    if (started->listener < 0)
        giveUp("the port of a server is taken");
    startServer(started);
    record(started->options.id + " starts again, born " + std::to_string(started->born));
    {
        const std::lock_guard guard(deployment.lock);
        deployment.servers[index] = started;
    }
    std::this_thread::sleep_for(entryDelay);
    record(started->options.id + " writes its entry");
    // It remains cold for 3 s after its start.
    constexpr std::chrono::milliseconds warmup(3000);
    const auto left = std::max(warmup - entryDelay, std::chrono::milliseconds(0));
    putItem(deployment.store, "servers/" + started->options.id,
            serverEntry(*started, static_cast<int>(left.count())));
}

auto finish(site &deployment, int code) -> void
{
    for (auto &entry : deployment.hosts)
        killHost(entry);
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(deployment.directory);
    else
        std::cerr << "kept " << deployment.directory << std::endl;
    // The threads of the servers end with the process.
    std::_Exit(code);
}

auto awaitServing(site &deployment) -> void
{
    const auto isServing = [&] {
        return std::all_of(deployment.hosts.begin(), deployment.hosts.end(),
                           [](const auto &entry) { return entry.process == 0 || isReady(entry); })
                && countHeldKeys(deployment) >= keyCount;
    };
    for (int tries = 0; tries < 300; ++tries) {
        if (isServing())
            return;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    giveUp("the deployment does not serve");
}

auto leaderOf(site &deployment) -> std::string
{
    const auto value = findItem(deployment.store, "parsleyloft/live/leader");
    if (!value)
        return {};
    for (const auto &entry : deployment.hosts) {
        if (value->find(entry.name) != std::string::npos)
            return entry.name;
    }
    return {};
}

auto callHost(const host &to, const caller_request &request) -> caller_answer
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = toSocketAddress(to.callers);
    const timeval timeout{request.deadlineMs / 1000 + 1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    caller_answer answer;
    auto text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + hostOfRoutes
            + "\r\nX-Request-Id: " + request.id
            + "\r\nX-Deadline-Ms: " + std::to_string(request.deadlineMs) + "\r\n";
    if (request.key)
        text += "X-Shard-Key: " + std::to_string(*request.key) + "\r\n";
    text += "\r\n";
    std::string buffer;
    message read;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        answer.status = -1;
    else if (sendAll(socket, text) && readMessage(socket, buffer, read)) {
        answer.status = std::atoi(read.head.substr(read.head.find(' ') + 1, 3).c_str());
        answer.body = read.body;
    }
    ::close(socket);
    return answer;
}

load::load(site &deployment, double perSecond, const std::string &path)
{
    constexpr int callers = 80;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([this, &deployment, perSecond, path, caller] {
            std::mt19937 random(static_cast<unsigned>(caller));
            const std::chrono::nanoseconds period(
                    static_cast<std::int64_t>(callers * 1e9 / perSecond));
            auto next = std::chrono::steady_clock::now()
                    + period / 1000 * static_cast<std::int64_t>(random() % 1000);
            for (int number = 0; !stopping; ++number) {
                std::this_thread::sleep_until(next);
                next = std::max(next + period, std::chrono::steady_clock::now());
                caller_request request;
                request.path = path;
                request.id = "c" + std::to_string(caller) + "-" + std::to_string(number);
                request.key = random() % keyCount;
                const auto &entry = deployment.hosts[random() % deployment.hosts.size()];
                if (entry.process == 0)
                    continue;
                ++sent;
                const auto answer = callHost(entry, request);
                succeeded += answer.status == 200 ? 1 : 0;
                record("caller sent " + request.id + " for key " + std::to_string(*request.key)
                       + " to " + entry.name + ", answered "
                       + (answer.status <= 0 ? "nothing" : std::to_string(answer.status)));
            }
        });
    }
}

load::~load()
{
    stopping = true;
    for (auto &thread : threads)
        thread.join();
}

owner_watch::owner_watch(site &watched)
    : deployment(watched)
{
    onGrant([this](server &receiver, std::size_t from, std::size_t to) {
        checkGrant(*this, receiver, from, to);
    });
    thread = std::thread([this] { watchHolds(*this); });
}

owner_watch::~owner_watch()
{
    stopping = true;
    thread.join();
    onGrant({});
}

} // namespace review
