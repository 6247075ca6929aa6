// A server whose answers are given byte by byte.
#include "support/raw_server.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace parsleyloft {

namespace {

constexpr int pollPeriodMs = 20;

// The number of the last connection that any server accepted.
std::atomic<int> lastConnection = 0;

auto waitReadable(const raw_server &server, int socket) -> bool
{
    while (!server.stopping) {
        pollfd polled{socket, POLLIN, 0};
        if (::poll(&polled, 1, pollPeriodMs) > 0)
            return true;
    }
    return false;
}

// Reads up to the end of the headers. Request bodies are not expected.
auto readRequest(const raw_server &server, raw_connection &connection) -> bool
{
    connection.request.clear();
    while (connection.request.find("\r\n\r\n") == std::string::npos) {
        if (!waitReadable(server, connection.socket))
            return false;
        char bytes[4096];
        const auto count = ::recv(connection.socket, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        connection.request.append(bytes, static_cast<std::size_t>(count));
    }
    return true;
}

auto serveConnection(raw_server &server, int socket, int number) -> void
{
    raw_connection connection{socket, number, {}};
    while (readRequest(server, connection) && server.handler(connection)) { }
    if (connection.socket >= 0)
        ::close(connection.socket);
    --server.openConnections;
}

auto acceptConnections(raw_server &server) -> void
{
    while (waitReadable(server, server.listener)) {
        const auto socket = ::accept(server.listener, nullptr, nullptr);
        if (socket < 0)
            continue;
        const int number = ++lastConnection;
        ++server.connections;
        ++server.openConnections;
        std::thread(serveConnection, std::ref(server), socket, number).detach();
    }
}

} // namespace

raw_server::raw_server(raw_handler onRequest, std::uint16_t port)
    : handler(std::move(onRequest))
{
    listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(port);
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&local), sizeof(local)) == 0);
    REQUIRE(::listen(listener, SOMAXCONN) == 0);
    socklen_t size = sizeof(local);
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr *>(&local), &size) == 0);
    address = {"127.0.0.1", ntohs(local.sin_port)};
    acceptor = std::thread([this] { acceptConnections(*this); });
}

raw_server::~raw_server()
{
    stopping = true;
    acceptor.join();
    ::close(listener);
    // The handlers end when their callers close their connections.
    while (openConnections > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

auto sendAll(raw_connection &connection, const std::string &bytes) -> bool
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count =
                ::send(connection.socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

auto rawHeader(const raw_connection &connection, const std::string &name) -> std::string
{
    const auto start = connection.request.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const auto value = start + name.size() + 4;
    return connection.request.substr(value, connection.request.find("\r\n", value) - value);
}

auto resetRaw(raw_connection &connection) -> void
{
    const linger hard{1, 0};
    ::setsockopt(connection.socket, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    ::close(connection.socket);
    connection.socket = -1;
}

} // namespace parsleyloft
