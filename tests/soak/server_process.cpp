// A backend server of the soak as a process: its connections, and the grants of its keys.
#include "soak/server_process.h"

#include "codec/json.h"
#include "generated/site.pb.h"
#include "platform/wire_names.h"
#include "soak/server_behaviours.h"
#include "transport/worker_pool.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace parsleyloft {

namespace {

// The idle timeout that the answers announce.
constexpr duration idleLimit = 10s;

// What a server does with a connection beside its requests.
enum class connection_behaviour : std::uint8_t {
    Serves,
    // Resets it at once, as beyond the number of connections that it takes.
    ResetsAtOnce,
    // Resets it after a while, in which a request may arrive.
    ResetsSoon,
    // Neither answers nor runs anything that arrives on it.
    NeverAnswers,
};

inline constexpr name_table<connection_behaviour, 4> connectionBehaviourNames{{
        {connection_behaviour::Serves, "serves"},
        {connection_behaviour::ResetsAtOnce, "resets_at_once"},
        {connection_behaviour::ResetsSoon, "resets_soon"},
        {connection_behaviour::NeverAnswers, "never_answers"},
}};

auto answerOrder(server_connection &connection, unsigned status, const std::string &otherLines)
        -> void
{
    const auto answer = "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + otherLines
            + "Keep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n";
    if (!sendBytes(connection, answer))
        closeConnection(connection);
}

auto grant(serving_process &process, const http_request &request) -> unsigned
{
    wire::KeyGrant message;
    if (!readLenientJson(request.body, message))
        return 400;
    const std::lock_guard guard(process.lock);
    const auto until = monotonicNow() + std::chrono::milliseconds(message.hold_ms());
    const auto taken = grantKeys(
            process.grants,
            {message.from(), message.to(), static_cast<std::uint64_t>(message.fence()), until});
    return taken ? 200 : 409;
}

// Returns once the work on the keys has ended.
auto release(serving_process &process, const http_request &request) -> unsigned
{
    wire::KeyRelease message;
    if (!readLenientJson(request.body, message))
        return 400;
    std::unique_lock guard(process.lock);
    releaseKeys(process.grants,
                {message.from(), message.to(), static_cast<std::uint64_t>(message.fence()), {}});
    process.workEnded.wait(guard, [&] {
        const auto first = process.runningKeys.lower_bound(message.from());
        return first == process.runningKeys.end() || *first > message.to();
    });
    return 200;
}

auto serveOrder(serving_process &process, server_connection &connection, http_request request)
        -> void
{
    if (!readRequestBody(connection, request)) {
        closeConnection(connection);
        return;
    }
    const auto &id = process.options.id;
    const auto idLine = std::string(answeringServerName) + ": " + id + "\r\n";
    const auto *expected = findHeader(request.headers, expectedServerName);
    if (expected != nullptr && *expected != id) {
        answerOrder(connection, 421, idLine + std::string(notExecutedName) + ": 1\r\n");
        return;
    }
    if (targetPath(request.target) == "/grant") {
        answerOrder(connection, grant(process, request), idLine);
        return;
    }
    const auto status = release(process, request);
    answerOrder(connection, status, idLine + std::string(handoverName) + ": of-" + id + "\r\n");
}

auto serveRequests(serving_process &process, server_connection &connection) -> void
{
    while (connection.socket >= 0 && awaitBytes(connection, idleLimit)) {
        auto request = readRequestHead(connection);
        if (!request)
            return;
        const auto path = targetPath(request->target);
        if (path == "/grant" || path == "/release")
            serveOrder(process, connection, std::move(*request));
        else
            serveRequest(process, connection, std::move(*request));
    }
}

// The number counts the connections of the process.
auto serveConnection(serving_process &process, int socket, int number) -> void
{
    server_connection connection;
    connection.socket = socket;
    const auto &options = process.options;
    auto random = makeRandom(options.seed, options.id + " connection " + std::to_string(number));
    auto drawn = connection_behaviour::Serves;
    if (options.troubles.contains(scene_trouble::Answers)) {
        constexpr int servesWeight = 40;
        drawn = static_cast<connection_behaviour>(drawIndex(random, {servesWeight, 1, 1, 1}));
    }
    if (drawn != connection_behaviour::Serves)
        std::cout << "connection socket=" + std::to_string(socket) + " behaviour="
                        + std::string(nameIn(connectionBehaviourNames, drawn)) + "\n"
                  << std::flush;
    switch (drawn) {
    case connection_behaviour::Serves:
        serveRequests(process, connection);
        break;
    case connection_behaviour::ResetsSoon:
        std::this_thread::sleep_for(std::chrono::milliseconds(drawBetween(random, 0, 100)));
        resetConnection(connection);
        break;
    case connection_behaviour::ResetsAtOnce:
        resetConnection(connection);
        break;
    case connection_behaviour::NeverAnswers:
        while (readRequestHead(connection)) { }
        break;
    }
    closeConnection(connection);
}

// Returns -1 if the address cannot be used.
auto listenAt(const endpoint &address) -> int
{
    const auto listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    // With the large segments of loopback, a caller's socket would take a whole body at once, and
    // no write of a request would ever fail midway.
    const int usualSegmentBytes = 1448;
    ::setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &usualSegmentBytes, sizeof(usualSegmentBytes));
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    if (::inet_pton(AF_INET, address.address.c_str(), &local.sin_addr) == 1
        && ::bind(listener, reinterpret_cast<sockaddr *>(&local), sizeof(local)) == 0
        && ::listen(listener, SOMAXCONN) == 0)
        return listener;
    ::close(listener);
    return -1;
}

auto serve(const server_process_options &options) -> exit_code
{
    // The process that plays the scene may be killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    serving_process process;
    process.options = options;
    const auto events = openJournal(options.journalPath, options.id);
    const auto listener = listenAt(options.address);
    if (!events || listener < 0) {
        std::cerr << "the journal or the address " << formatEndpoint(options.address)
                  << " cannot be used\n";
        return exit_code::Failed;
    }
    process.events = *events;
    for (int number = 0;; ++number) {
        const auto socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0)
            std::thread(serveConnection, std::ref(process), socket, number).detach();
        else if (errno != EINTR && errno != ECONNABORTED)
            return exit_code::Failed;
    }
}

} // namespace

auto toArguments(const server_process_options &options) -> std::vector<std::string>
{
    std::vector<std::string> words{
            "server", "--seed=" + std::to_string(options.seed), "--id=" + options.id,
            "--address=" + formatEndpoint(options.address), "--journal=" + options.journalPath};
    if (!options.troubles.empty())
        words.push_back("--troubles=" + toText(options.troubles));
    if (options.keyed)
        words.push_back("--keyed");
    return words;
}

auto runServerProcess(const arguments &rest) -> exit_code
{
    namespace options = boost::program_options;
    server_process_options server;
    std::string address;
    std::string troubles;
    options::options_description known("options");
    known.add_options()("help", "show this text");
    known.add_options()("seed", options::value(&server.seed), "draws what the server does");
    known.add_options()("id", options::value(&server.id)->required(), "the server's id");
    known.add_options()("address", options::value(&address)->required(), "ip:port");
    known.add_options()("journal", options::value(&server.journalPath), "the file of its events");
    known.add_options()("troubles", options::value(&troubles), "those of the scene");
    known.add_options()("keyed", options::bool_switch(&server.keyed), "it needs grants of keys");
    options::variables_map values;
    if (const auto exitCode = parseOptions(rest, known, {}, values))
        return *exitCode;
    const auto parsedAddress = parseEndpoint(address);
    const auto parsedTroubles = readTroubles(troubles);
    if (!parsedAddress || !parsedTroubles) {
        std::cerr << "the address or the troubles are invalid\n";
        return exit_code::Usage;
    }
    server.address = *parsedAddress;
    server.troubles = *parsedTroubles;
    return serve(server);
}

} // namespace parsleyloft
