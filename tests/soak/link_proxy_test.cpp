// Guards against a soak that plays calm links: what each state of a proxy does to the bytes, ends
// and resets of both sides.
#include "soak/link_proxy.h"

#include "support/caller_socket.h"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace parsleyloft {

namespace {

constexpr duration longWait = 10s;
// Long enough for bytes that pass by mistake.
constexpr duration shortWait = 100ms;

struct loopback_listener
{
    loopback_listener()
    {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(local);
        REQUIRE(bind(handle, reinterpret_cast<sockaddr *>(&local), size) == 0);
        REQUIRE(listen(handle, SOMAXCONN) == 0);
        REQUIRE(getsockname(handle, reinterpret_cast<sockaddr *>(&local), &size) == 0);
        address = {"127.0.0.1", ntohs(local.sin_port)};
    }
    ~loopback_listener() { close(handle); }
    loopback_listener(const loopback_listener &) = delete;
    auto operator=(const loopback_listener &) -> loopback_listener & = delete;

    int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    endpoint address;
};

// Null if no connection arrives in time.
auto acceptWithin(const loopback_listener &listener, duration limit)
        -> std::unique_ptr<caller_socket>
{
    pollfd polled{listener.handle, POLLIN, 0};
    if (poll(&polled, 1, static_cast<int>(toMilliseconds(limit))) <= 0)
        return nullptr;
    return std::make_unique<caller_socket>(
            accept4(listener.handle, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
}

// The address of a listener that is gone.
auto unusedAddress() -> endpoint
{
    return loopback_listener().address;
}

auto send(caller_socket &from, std::string_view bytes) -> void
{
    REQUIRE(sendBytes(from, bytes, monotonicNow() + longWait, false) == send_end::Sent);
}

// Receives until the text is complete or something else comes.
auto receives(caller_socket &socket, std::string_view text) -> bool
{
    while (socket.received.size() < text.size()) {
        if (receiveMore(socket, monotonicNow() + longWait) != receive_end::Data)
            return false;
    }
    return std::exchange(socket.received, {}) == text;
}

auto isSilent(caller_socket &socket) -> bool
{
    return receiveMore(socket, monotonicNow() + shortWait) == receive_end::Late;
}

auto endOf(caller_socket &socket) -> receive_end
{
    return receiveMore(socket, monotonicNow() + longWait);
}

// True if a new connection to the address is reset, which may be seen before it is established.
auto isNewConnectionReset(const endpoint &address) -> bool
{
    const auto started = monotonicNow();
    const auto connected = connectTo(address, started + longWait);
    return connected ? endOf(*connected) == receive_end::Reset
                     : monotonicNow() < started + longWait;
}

// A client and a server with an open connection through a proxy.
struct connection_through_a_proxy
{
    connection_through_a_proxy()
    {
        REQUIRE(proxy);
        connect();
    }
    ~connection_through_a_proxy() { stopWorkers(*workers); }
    connection_through_a_proxy(const connection_through_a_proxy &) = delete;
    auto operator=(const connection_through_a_proxy &) -> connection_through_a_proxy & = delete;

    auto connect() -> void
    {
        client = connectTo(address, monotonicNow() + longWait);
        REQUIRE(client);
        server = acceptWithin(listener, longWait);
        REQUIRE(server);
    }

    loopback_listener listener;
    endpoint address = unusedAddress();
    std::unique_ptr<worker_pool> workers = startWorkers(2);
    result<link_proxy> proxy = startProxy(*workers, address, listener.address);
    std::unique_ptr<caller_socket> client;
    std::unique_ptr<caller_socket> server;
};

} // namespace

TEST_CASE_METHOD(connection_through_a_proxy, "open_link_passes_bytes_and_ends_of_both_sides",
                 "[link]")
{
    send(*client, "request");
    CHECK(receives(*server, "request"));
    send(*server, "answer");
    CHECK(receives(*client, "answer"));
    closeSending(*client);
    CHECK(endOf(*server) == receive_end::Closed);
    send(*server, "after the client's end");
    CHECK(receives(*client, "after the client's end"));
    server = nullptr;
    CHECK(endOf(*client) == receive_end::Closed);
}

TEST_CASE_METHOD(connection_through_a_proxy, "reset_of_one_side_reaches_the_other", "[link]")
{
    resetAtClose(*client);
    client = nullptr;
    CHECK(endOf(*server) == receive_end::Reset);
}

TEST_CASE_METHOD(connection_through_a_proxy,
                 "close_by_a_client_that_reads_no_more_ends_the_connection", "[link]")
{
    client = nullptr;
    CHECK(endOf(*server) == receive_end::Closed);
    // The first bytes make the client's side reset the connection, which later ones find.
    auto end = send_end::Sent;
    for (int sent = 0; sent < 1000 && end == send_end::Sent; ++sent) {
        std::this_thread::sleep_for(10ms);
        end = sendBytes(*server, "answer", monotonicNow() + longWait, false);
    }
    CHECK(end == send_end::Failed);
}

TEST_CASE_METHOD(connection_through_a_proxy, "connection_to_a_target_that_is_gone_is_reset",
                 "[link]")
{
    const auto other = unusedAddress();
    const auto withoutTarget = startProxy(*workers, other, unusedAddress());
    REQUIRE(withoutTarget);
    CHECK(isNewConnectionReset(other));
}

TEST_CASE_METHOD(connection_through_a_proxy, "delayed_link_passes_bytes_and_ends_after_the_delay",
                 "[link]")
{
    constexpr duration delay = 200ms;
    setLink(*proxy, link_state::Delayed, delay);
    const auto sentAt = monotonicNow();
    send(*client, "request");
    send(*server, "answer");
    closeSending(*client);
    CHECK(receives(*client, "answer"));
    CHECK(monotonicNow() - sentAt >= delay);
    CHECK(receives(*server, "request"));
    CHECK(endOf(*server) == receive_end::Closed);
    CHECK(monotonicNow() - sentAt >= delay);
}

TEST_CASE_METHOD(connection_through_a_proxy, "bytes_of_a_delayed_link_keep_their_order_as_it_opens",
                 "[link]")
{
    setLink(*proxy, link_state::Delayed, shortWait);
    send(*client, "first ");
    CHECK(server->received.empty());
    // Without this pause both could be read as one part.
    CHECK(receiveMore(*client, monotonicNow() + shortWait / 4) == receive_end::Late);
    setLink(*proxy, link_state::Open);
    send(*client, "second");
    CHECK(receives(*server, "first second"));
}

TEST_CASE_METHOD(connection_through_a_proxy,
                 "link_that_is_silent_to_the_server_holds_that_direction_back", "[link]")
{
    setLink(*proxy, link_state::SilentToServer);
    send(*client, "request");
    closeSending(*client);
    CHECK(isSilent(*server));
    send(*server, "answer");
    CHECK(receives(*client, "answer"));
    setLink(*proxy, link_state::Open);
    CHECK(receives(*server, "request"));
    CHECK(endOf(*server) == receive_end::Closed);
}

TEST_CASE_METHOD(connection_through_a_proxy,
                 "link_that_is_silent_to_the_client_holds_that_direction_back", "[link]")
{
    setLink(*proxy, link_state::SilentToClient);
    send(*server, "answer");
    resetAtClose(*server);
    CHECK(isSilent(*client));
    send(*client, "request");
    CHECK(receives(*server, "request"));
    server = nullptr;
    CHECK(isSilent(*client));
    setLink(*proxy, link_state::Open);
    CHECK(receives(*client, "answer"));
    CHECK(endOf(*client) == receive_end::Reset);
}

TEST_CASE_METHOD(connection_through_a_proxy, "cut_link_holds_both_directions_back", "[link]")
{
    setLink(*proxy, link_state::Cut);
    send(*client, "request");
    send(*server, "answer");
    CHECK(isSilent(*server));
    CHECK(isSilent(*client));
    setLink(*proxy, link_state::Open);
    CHECK(receives(*server, "request"));
    CHECK(receives(*client, "answer"));
}

TEST_CASE_METHOD(connection_through_a_proxy,
                 "new_connection_reaches_the_server_once_a_silent_link_opens", "[link]")
{
    setLink(*proxy, GENERATE(link_state::Cut, link_state::SilentToServer));
    const auto later = connectTo(address, monotonicNow() + longWait);
    REQUIRE(later);
    send(*later, "request");
    CHECK_FALSE(acceptWithin(listener, shortWait));
    setLink(*proxy, link_state::Open);
    const auto accepted = acceptWithin(listener, longWait);
    REQUIRE(accepted);
    CHECK(receives(*accepted, "request"));
}

TEST_CASE_METHOD(connection_through_a_proxy, "reset_link_resets_open_and_new_connections", "[link]")
{
    setLink(*proxy, link_state::Reset);
    CHECK(endOf(*client) == receive_end::Reset);
    CHECK(endOf(*server) == receive_end::Reset);
    CHECK(isNewConnectionReset(address));
    setLink(*proxy, link_state::Open);
    connect();
    send(*client, "request");
    CHECK(receives(*server, "request"));
}

TEST_CASE_METHOD(connection_through_a_proxy, "silent_link_holds_a_bounded_number_of_bytes",
                 "[link]")
{
    setLink(*proxy, link_state::SilentToServer);
    // More than the buffers of the sockets on the way.
    constexpr std::size_t manyBytes = std::size_t(64) * 1024 * 1024;
    const std::string bytes(manyBytes, 'x');
    CHECK(sendBytes(*client, bytes, monotonicNow() + 1s, false) == send_end::Failed);
}

} // namespace parsleyloft
