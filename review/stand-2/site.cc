#include "site.hh"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto begun = std::chrono::steady_clock::now();
std::mutex recordLock;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string encode64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned v = static_cast<unsigned char>(bytes[i]) << 16U;
        if (i + 1 < bytes.size())
            v |= static_cast<unsigned char>(bytes[i + 1]) << 8U;
        if (i + 2 < bytes.size())
            v |= static_cast<unsigned char>(bytes[i + 2]);
        text += digits[v >> 18U & 63U];
        text += digits[v >> 12U & 63U];
        text += i + 1 < bytes.size() ? digits[v >> 6U & 63U] : '=';
        text += i + 2 < bytes.size() ? digits[v & 63U] : '=';
    }
    return text;
}

std::string decode64(const std::string &text)
{
    std::string bytes;
    unsigned value = 0;
    int bits = 0;
    for (const char c : text) {
        int digit = -1;
        if (c >= 'A' && c <= 'Z') digit = c - 'A';
        else if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
        else if (c >= '0' && c <= '9') digit = c - '0' + 52;
        else if (c == '+' || c == '-') digit = 62;
        else if (c == '/' || c == '_') digit = 63;
        if (digit < 0)
            continue;
        value = value << 6U | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(value >> bits & 255U);
        }
    }
    return bytes;
}

// The text of a field of a flat JSON object, without quotes. Empty when it is absent.
std::string field(const std::string &object, const std::string &name)
{
    const auto key = "\"" + name + "\":";
    auto at = object.find(key);
    if (at == std::string::npos)
        return {};
    at += key.size();
    while (at < object.size() && object[at] == ' ')
        ++at;
    if (object[at] == '"') {
        std::string text;
        for (++at; at < object.size() && object[at] != '"'; ++at) {
            if (object[at] == '\\')
                ++at;
            text += object[at];
        }
        return text;
    }
    const auto end = object.find_first_of(",}]", at);
    return object.substr(at, end - at);
}

// The objects of a list field.
std::vector<std::string> objects(const std::string &text, const std::string &name)
{
    std::vector<std::string> found;
    auto at = text.find("\"" + name + "\":[");
    if (at == std::string::npos)
        return found;
    for (at += name.size() + 4; at < text.size() && text[at] != ']';) {
        if (text[at] == '{') {
            const auto end = text.find('}', at);
            found.push_back(text.substr(at, end - at + 1));
            at = end;
        }
        ++at;
    }
    return found;
}

std::string parameter(const std::string &target, const std::string &name)
{
    auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    at += name.size() + 1;
    const auto text = target.substr(at, target.find_first_of("& ", at) - at);
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
}

void sleepUntil(double when)
{
    const auto left = when - now();
    if (left > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

Connection::~Connection()
{
    if (handle >= 0)
        ::close(handle);
}

bool Connection::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::read(Message &message, double limitS, bool keepBody)
{
    timeval limit{};
    limit.tv_sec = static_cast<time_t>(limitS);
    limit.tv_usec = static_cast<suseconds_t>((limitS - static_cast<double>(limit.tv_sec)) * 1e6);
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::vector<char> part(65536);
    const auto more = [&] {
        const auto count = ::recv(handle, part.data(), part.size(), 0);
        if (count > 0)
            rest.append(part.data(), static_cast<std::size_t>(count));
        return count > 0;
    };
    std::size_t end = 0;
    while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    message = {};
    const auto head = rest.substr(0, end + 2);
    rest.erase(0, end + 4);
    message.first = head.substr(0, head.find("\r\n"));
    for (auto at = message.first.size() + 2; at < head.size();) {
        const auto stop = head.find("\r\n", at);
        const auto line = head.substr(at, stop - at);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        at = stop + 2;
    }
    auto left = message.headers.count("content-length") ? std::stoul(message.headers["content-length"]) : 0UL;
    while (left > 0) {
        if (rest.empty() && !more())
            return false;
        const auto taken = std::min<std::size_t>(left, rest.size());
        if (keepBody)
            message.body += rest.substr(0, taken);
        rest.erase(0, taken);
        left -= taken;
    }
    return true;
}

namespace {

int listenAt(int &port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(handle, 256) != 0) {
        ::close(handle);
        return -1;
    }
    socklen_t size = sizeof(address);
    ::getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return handle;
}

} // namespace

// Below the ports that the system gives to outgoing connections, so that none takes it meanwhile.
int freePort()
{
    static int next = 12000 + static_cast<int>(::getpid()) * 37 % 15000;
    while (true) {
        int port = next++;
        const int handle = listenAt(port);
        if (handle < 0)
            continue;
        ::close(handle);
        return port;
    }
}

int connectTo(int port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0) {
        const int on = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return handle;
    }
    ::close(handle);
    return -1;
}

void Server::start(std::function<void(Connection &)> serve)
{
    const int listening = listenAt(port);
    std::thread([listening, serve] {
        while (true) {
            const int handle = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0)
                continue;
            const int on = 1;
            ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([handle, serve] {
                Connection connection(handle);
                serve(connection);
            }).detach();
        }
    }).detach();
}

void record(const std::string &line)
{
    static const auto *const path = std::getenv("REVIEW_RECORD");
    static std::ofstream file(path == nullptr ? "record.txt" : path, std::ios::trunc);
    const std::lock_guard guard(recordLock);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", now());
    file << time << line << std::endl;
}

void Store::start()
{
    server.start([this](Connection &connection) { serve(connection); });
    std::thread([this] {
        while (!ended) {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            const std::lock_guard guard(lock);
            expire();
        }
    }).detach();
}

double Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard guard(lock);
    ++revision;
    items[key] = {value, revision, 0};
    events.push_back({revision, key, value, false});
    changed.notify_all();
    return now();
}

void Store::expire()
{
    std::set<long> over;
    for (const auto &[lease, times] : leases) {
        if (times.second < now())
            over.insert(lease);
    }
    for (const auto lease : over) {
        leases.erase(lease);
        for (auto item = items.begin(); item != items.end();) {
            if (item->second.lease != lease) {
                ++item;
                continue;
            }
            events.push_back({++revision, item->first, {}, true});
            item = items.erase(item);
        }
    }
    if (!over.empty())
        changed.notify_all();
}

std::string Store::itemText(const std::string &key, const Item &item) const
{
    return "{\"key\":\"" + key + "\",\"value\":\"" + encode64(item.value) + "\",\"revision\":"
            + std::to_string(item.revision) + ",\"created\":" + std::to_string(item.revision)
            + ",\"lease_id\":" + std::to_string(item.lease) + ",\"at\":" + std::to_string(revision) + "}";
}

std::string Store::transact(const std::string &body, int &status)
{
    status = 412;
    for (const auto &row : objects(body, "expect")) {
        const auto found = items.find(field(row, "key"));
        const auto wanted = field(row, "revision");
        if ((found == items.end() ? 0 : found->second.revision) != (wanted.empty() ? 0 : std::stol(wanted)))
            return "{\"items\":[]}";
    }
    const auto writes = objects(body, "writes");
    status = 404;
    for (const auto &row : writes) {
        const auto lease = field(row, "lease_id");
        if (!lease.empty() && std::stol(lease) != 0 && !leases.count(std::stol(lease)))
            return "{}";
    }
    status = 200;
    ++revision;
    for (const auto &row : writes) {
        const auto key = field(row, "key");
        const auto lease = field(row, "lease_id");
        const auto value = decode64(field(row, "value"));
        items[key] = {value, revision, lease.empty() ? 0 : std::stol(lease)};
        events.push_back({revision, key, value, false});
    }
    changed.notify_all();
    return "{\"revision\":" + std::to_string(revision) + "}";
}

void Store::serve(Connection &connection)
{
    Message message;
    while (connection.read(message, 60)) {
        const auto target = message.first.substr(message.first.find(' ') + 1);
        const auto path = target.substr(0, target.find_first_of("? "));
        int status = 200;
        std::string body = "{}";
        std::this_thread::sleep_for(std::chrono::milliseconds(4));
        std::unique_lock guard(lock);
        expire();
        if (path == "/kv-key") {
            const auto found = items.find(parameter(target, "key"));
            status = found == items.end() ? 404 : 200;
            if (found != items.end())
                body = itemText(found->first, found->second);
        } else if (path == "/kv-range") {
            const auto prefix = parameter(target, "prefix");
            const auto after = parameter(target, "after");
            body = "{\"items\":[";
            std::string comma;
            for (const auto &[key, item] : items) {
                if (key.compare(0, prefix.size(), prefix) != 0 || key <= after)
                    continue;
                body += comma + itemText(key, item);
                comma = ",";
            }
            body += "],\"more\":false,\"at\":" + std::to_string(revision) + "}";
        } else if (path == "/kv-watch") {
            const auto prefix = parameter(target, "prefix");
            const auto after = std::stol(parameter(target, "after"));
            const auto until = now() + std::stod(parameter(target, "wait_ms")) / 1000;
            if (prefix == "op/")
                watchBegan = now();
            const auto matches = [&](const Event &event) {
                return event.revision > after && event.key.compare(0, prefix.size(), prefix) == 0;
            };
            while (now() < until && !ended && std::none_of(events.begin(), events.end(), matches))
                changed.wait_for(guard, std::chrono::milliseconds(50));
            body = "{\"events\":[";
            std::string comma;
            for (const auto &event : events) {
                if (!matches(event))
                    continue;
                body += comma + "{\"key\":\"" + event.key + "\",\"revision\":" + std::to_string(event.revision);
                body += event.deleted ? ",\"deleted\":true}" : ",\"value\":\"" + encode64(event.value) + "\"}";
                comma = ",";
            }
            body += "],\"at\":" + std::to_string(revision) + "}";
            if (!comma.empty() && !loseWatches.empty() && prefix == loseWatches) {
                // Nothing further comes on this connection.
                ++lost;
                lastLost = now();
                guard.unlock();
                record("store: the answer to a watch under " + prefix + " is lost");
                Message ignored;
                connection.read(ignored, 60);
                return;
            }
        } else if (path == "/kv-lease") {
            const auto ttl = std::stod(field(message.body, "ttl_ms")) / 1000;
            leases[++nextLease] = {ttl, now() + ttl};
            body = "{\"lease_id\":" + std::to_string(nextLease) + ",\"ttl_ms\":" + std::to_string(static_cast<long>(ttl * 1000)) + "}";
        } else if (path.rfind("/kv-keep/", 0) == 0 || path.rfind("/kv-lease-end/", 0) == 0) {
            const auto found = leases.find(std::stol(path.substr(path.rfind('/') + 1)));
            status = found == leases.end() ? 404 : 200;
            if (found != leases.end() && path[4] == 'k') {
                found->second.second = now() + found->second.first;
                body = "{\"ttl_ms\":" + std::to_string(static_cast<long>(found->second.first * 1000)) + "}";
            } else if (found != leases.end()) {
                found->second.second = 0;
                expire();
            }
        } else if (path == "/kv-txn") {
            body = transact(message.body, status);
        } else {
            status = 400;
        }
        guard.unlock();
        if (!connection.send(response(status, "Store-Era: 1\r\nContent-Type: application/json\r\n", body)))
            return;
    }
}

void Upstream::start()
{
    server.start([this](Connection &connection) {
        Message message;
        while (connection.read(message, 60, false)) {
            const auto request = message.headers["x-request-id"];
            if (gone)
                return;
            const auto name = "X-Request-Id: " + request + "\r\n" + (leaving ? "Server-Leaving: 1\r\n" : "");
            if (message.headers["x-expect-instance"] != id) {
                if (!connection.send(response(421, name + "X-Instance-Id: " + id + "\r\nX-Not-Executed: 1\r\n", {})))
                    return;
                continue;
            }
            onRun(request, service);
            std::this_thread::sleep_for(std::chrono::duration<double>(workS));
            if (gone)
                return;
            const auto stamp = "X-Upstream-Stamp: " + service + "." + request + "\r\nX-Upstream-Load: 1,0,6\r\n";
            if (!connection.send(response(200, name + stamp, service + " ran " + request)))
                return;
        }
    });
}

std::string Upstream::entry(const std::string &zone)
{
    return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(server.port)
            + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + (leaving ? "draining" : "ready")
            + "\",\"warmup_left_ms\":0,\"seq\":" + std::to_string(++beats) + ",\"born\":1700000000000}";
}

bool Host::start(const std::string &folder, const std::string &zone, int storePort)
{
    callers = freePort();
    ready = freePort();
    const auto text = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    const auto path = folder + "/" + id + ".json";
    std::ofstream(path) << "{\"host_id\":\"" << id << "\",\"failure_domain\":\"" << zone << "\",\"caller_address\":"
                        << text(callers) << ",\"ready_address\":" << text(ready) << ",\"peer_address\":"
                        << text(freePort()) << ",\"metrics_address\":" << text(freePort()) << ",\"store_address\":"
                        << text(storePort)
                        << ",\"first_start\":true,\"size\":{\"cpu_share\":0.2,\"memory_mb\":260,\"max_descriptors\":4100},"
                           "\"bounds\":{\"drain_ms\":2000,\"grace_s\":6,\"hold_max_ms\":10000,\"repeat_ratio\":0.2,"
                           "\"repeat_slack\":60,\"repeat_window_s\":10}}";
    process = ::fork();
    if (process != 0)
        return process > 0;
    // No host outlives the stand-in.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto log = ::open((folder + "/" + id + ".log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::setenv("PARSLEYLOFT_BOOT", path.c_str(), 1);
    const auto *root = std::getenv("REVIEW_ROOT");
    if (root == nullptr || ::chdir(root) != 0)
        ::_exit(127);
    ::execl("target/command/parsleyloft", "target/command/parsleyloft", "route", static_cast<char *>(nullptr));
    ::_exit(127);
}

void Host::stop()
{
    if (process <= 0)
        return;
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    process = 0;
}

std::string route(const std::string &name, const std::string &prefix, const std::string &kind,
                  const std::string &service, int timeoutMs)
{
    return "{\"name\":\"" + name + "\",\"host\":\"desk.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + std::to_string(timeoutMs)
            + ",\"target_ms\":500,\"priority\":2,\"service\":\"" + service + "\",\"max_attempts\":2}";
}

std::string configuration(int version, const std::vector<std::string> &routes, const std::vector<std::string> &services)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    std::string comma;
    for (const auto &one : routes) {
        text += comma + one;
        comma = ",";
    }
    text += "],\"services\":[";
    comma.clear();
    for (const auto &one : services) {
        text += comma + "{\"name\":\"" + one
                + "\",\"health_path\":\"/health\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false,"
                  "\"warmup_s\":3.0,\"cold_per_s\":8.3}";
        comma = ",";
    }
    return text
            + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
              "\"idle_timeout_ms\":15000}}";
}

bool awaitReady(const Host &host, double limitS)
{
    for (const auto until = now() + limitS; now() < until; std::this_thread::sleep_for(std::chrono::milliseconds(50))) {
        const int handle = connectTo(host.ready);
        if (handle < 0)
            continue;
        Connection connection(handle);
        Message message;
        if (connection.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n") && connection.read(message, 1)
            && message.first.find(" 200") != std::string::npos)
            return true;
    }
    return false;
}

std::string newId()
{
    static std::mutex lock;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard guard(lock);
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

Answer call(int port, const std::string &method, const std::string &path, const std::string &id,
            const std::string &body, int deadlineMs)
{
    Answer answer;
    answer.id = id;
    Connection connection(connectTo(port));
    Message message;
    const auto head = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n";
    if (connection.handle < 0 || !connection.send(head + body) || !connection.read(message, deadlineMs / 1000.0 + 1))
        return answer;
    answer.status = std::atoi(message.first.substr(message.first.find(' ') + 1).c_str());
    answer.stamp = message.headers["x-upstream-stamp"];
    answer.body = message.body;
    return answer;
}

} // namespace review
