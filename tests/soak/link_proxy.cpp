// A loopback proxy that disturbs the connections through it.
#include "transport/asio_context.h"

#include "soak/link_proxy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <deque>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>

namespace parsleyloft {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using proxy_strand = asio::strand<asio::io_context::executor_type>;
using proxy_socket = asio::basic_stream_socket<tcp, proxy_strand>;
using proxy_acceptor = asio::basic_socket_acceptor<tcp, proxy_strand>;
using proxy_timer =
        asio::basic_waitable_timer<std::chrono::steady_clock,
                                   asio::wait_traits<std::chrono::steady_clock>, proxy_strand>;

constexpr std::size_t partBytes = std::size_t(16) * 1024;
constexpr std::size_t maxHeldParts = 8;

enum class part_kind : std::uint8_t {
    Bytes,
    // The sender has closed its direction.
    End,
    // The sender has reset the connection.
    Reset,
};

struct held_part
{
    part_kind kind = part_kind::Bytes;
    std::string bytes;
    instant due{};
};

enum class link_side : std::uint8_t {
    Client,
    Server,
};

// What goes from one side to the other.
struct link_direction
{
    explicit link_direction(const proxy_strand &strand)
        : timer(strand)
    { }

    std::deque<held_part> parts;
    std::string readBuffer = std::string(partBytes, '\0');
    proxy_timer timer;
    bool reading = false;
    bool writing = false;
    // The sender has closed its direction or reset the connection. No bytes follow.
    bool ended = false;
    // The end has been passed on, or the receiver is gone. Only a reset is still passed on.
    bool done = false;
};

struct proxy_connection
{
    explicit proxy_connection(proxy_socket &&accepted)
        : client(std::move(accepted))
        , server(client.get_executor())
        , toServer(client.get_executor())
        , toClient(client.get_executor())
    { }

    proxy_socket client;
    proxy_socket server;
    link_direction toServer;
    link_direction toClient;
    bool connecting = false;
    bool connected = false;
    bool closed = false;
};

using shared_proxied = std::shared_ptr<proxy_connection>;

} // namespace

// Everything is accessed on the strand only.
struct link_proxy::internals
{
    internals(asio::io_context &context, const tcp::endpoint &to)
        : strand(asio::make_strand(context))
        , acceptor(strand)
        , target(to)
    { }

    proxy_strand strand;
    proxy_acceptor acceptor;
    tcp::endpoint target;
    link_state state = link_state::Open;
    duration delay = 0us;
    std::set<shared_proxied> connections;
};

namespace {

using shared_proxy = std::shared_ptr<link_proxy::internals>;

auto directionFrom(proxy_connection &connection, link_side side) -> link_direction &
{
    return side == link_side::Client ? connection.toServer : connection.toClient;
}

auto socketOf(proxy_connection &connection, link_side side) -> proxy_socket &
{
    return side == link_side::Client ? connection.client : connection.server;
}

auto otherSide(link_side side) -> link_side
{
    return side == link_side::Client ? link_side::Server : link_side::Client;
}

// True when nothing that comes from this side passes.
auto isSilentFrom(const link_proxy::internals &proxy, link_side side) -> bool
{
    if (proxy.state == link_state::Cut)
        return true;
    return proxy.state
            == (side == link_side::Client ? link_state::SilentToServer
                                          : link_state::SilentToClient);
}

auto closeBoth(const shared_proxy &proxy, const shared_proxied &connection) -> void
{
    connection->closed = true;
    connection->toServer.timer.cancel();
    connection->toClient.timer.cancel();
    boost::system::error_code ignored;
    connection->client.close(ignored);
    connection->server.close(ignored);
    proxy->connections.erase(connection);
}

auto resetBoth(const shared_proxy &proxy, const shared_proxied &connection) -> void
{
    boost::system::error_code ignored;
    const asio::socket_base::linger hard(true, 0);
    connection->client.set_option(hard, ignored);
    connection->server.set_option(hard, ignored);
    closeBoth(proxy, connection);
}

auto passOn(const shared_proxy &proxy, const shared_proxied &connection, link_side from) -> void;
auto readNext(const shared_proxy &proxy, const shared_proxied &connection, link_side from) -> void;

auto addPart(const shared_proxy &proxy, const shared_proxied &connection, link_side from,
             held_part part) -> void
{
    auto &direction = directionFrom(*connection, from);
    if (direction.done && part.kind == part_kind::Bytes)
        return;
    direction.ended = direction.ended || part.kind != part_kind::Bytes;
    part.due = monotonicNow() + (proxy->state == link_state::Delayed ? proxy->delay : 0us);
    // A part does not overtake those before it when the delay ends.
    if (!direction.parts.empty())
        part.due = std::max(part.due, direction.parts.back().due);
    direction.parts.push_back(std::move(part));
    passOn(proxy, connection, from);
}

auto readNext(const shared_proxy &proxy, const shared_proxied &connection, link_side from) -> void
{
    auto &direction = directionFrom(*connection, from);
    if (connection->closed || direction.reading || direction.ended
        || direction.parts.size() >= maxHeldParts)
        return;
    direction.reading = true;
    socketOf(*connection, from)
            .async_read_some(
                    asio::buffer(direction.readBuffer),
                    [proxy, connection, from](boost::system::error_code error, std::size_t count) {
                        auto &read = directionFrom(*connection, from);
                        read.reading = false;
                        if (connection->closed)
                            return;
                        if (error) {
                            const auto kind =
                                    error == asio::error::eof ? part_kind::End : part_kind::Reset;
                            addPart(proxy, connection, from, {kind, {}, {}});
                            return;
                        }
                        addPart(proxy, connection, from,
                                {part_kind::Bytes, read.readBuffer.substr(0, count), {}});
                        readNext(proxy, connection, from);
                    });
}

auto writeFront(const shared_proxy &proxy, const shared_proxied &connection, link_side from) -> void
{
    auto &direction = directionFrom(*connection, from);
    direction.writing = true;
    asio::async_write(
            socketOf(*connection, otherSide(from)), asio::buffer(direction.parts.front().bytes),
            [proxy, connection, from](boost::system::error_code error, std::size_t) {
                auto &written = directionFrom(*connection, from);
                written.writing = false;
                if (connection->closed)
                    return;
                if (error) {
                    // The sender learns of it by the other direction.
                    written.done = true;
                    written.parts.clear();
                    addPart(proxy, connection, otherSide(from), {part_kind::Reset, {}, {}});
                    return;
                }
                written.parts.pop_front();
                readNext(proxy, connection, from);
                passOn(proxy, connection, from);
            });
}

auto endDirection(const shared_proxy &proxy, const shared_proxied &connection, link_side from)
        -> void
{
    auto &direction = directionFrom(*connection, from);
    direction.done = true;
    direction.parts.pop_front();
    if (connection->toServer.done && connection->toClient.done) {
        closeBoth(proxy, connection);
        return;
    }
    boost::system::error_code ignored;
    socketOf(*connection, otherSide(from)).shutdown(tcp::socket::shutdown_send, ignored);
}

// Passes on the next part of one direction, once it is due and the link lets it pass.
auto passOn(const shared_proxy &proxy, const shared_proxied &connection, link_side from) -> void
{
    auto &direction = directionFrom(*connection, from);
    if (connection->closed || !connection->connected || direction.writing || direction.parts.empty()
        || isSilentFrom(*proxy, from))
        return;
    const auto &next = direction.parts.front();
    if (direction.done && next.kind != part_kind::Reset)
        return;
    if (next.due > monotonicNow()) {
        direction.timer.expires_at(next.due);
        direction.timer.async_wait([proxy, connection, from](boost::system::error_code cancelled) {
            if (!cancelled)
                passOn(proxy, connection, from);
        });
        return;
    }
    switch (next.kind) {
    case part_kind::Bytes:
        writeFront(proxy, connection, from);
        return;
    case part_kind::End:
        endDirection(proxy, connection, from);
        return;
    case part_kind::Reset:
        resetBoth(proxy, connection);
        return;
    }
}

auto connectToTarget(const shared_proxy &proxy, const shared_proxied &connection) -> void
{
    if (connection->connecting || isSilentFrom(*proxy, link_side::Client))
        return;
    connection->connecting = true;
    connection->server.async_connect(
            proxy->target, [proxy, connection](boost::system::error_code error) {
                if (connection->closed)
                    return;
                connection->connected = true;
                if (error) {
                    addPart(proxy, connection, link_side::Server, {part_kind::Reset, {}, {}});
                    return;
                }
                boost::system::error_code ignored;
                connection->server.set_option(tcp::no_delay(true), ignored);
                readNext(proxy, connection, link_side::Server);
                passOn(proxy, connection, link_side::Client);
            });
}

auto beginConnection(const shared_proxy &proxy, proxy_socket &&accepted) -> void
{
    const auto connection = std::make_shared<proxy_connection>(std::move(accepted));
    if (proxy->state == link_state::Reset) {
        resetBoth(proxy, connection);
        return;
    }
    boost::system::error_code ignored;
    connection->client.set_option(tcp::no_delay(true), ignored);
    proxy->connections.insert(connection);
    readNext(proxy, connection, link_side::Client);
    connectToTarget(proxy, connection);
}

auto acceptNext(const shared_proxy &proxy) -> void
{
    proxy->acceptor.async_accept(proxy->strand,
                                 [proxy](boost::system::error_code error, proxy_socket accepted) {
                                     if (error == asio::error::operation_aborted)
                                         return;
                                     if (!error)
                                         beginConnection(proxy, std::move(accepted));
                                     acceptNext(proxy);
                                 });
}

auto applyState(const shared_proxy &proxy, link_state state, duration delay) -> void
{
    proxy->state = state;
    proxy->delay = delay;
    // A copy, because a connection that ends is removed.
    for (const auto connections = proxy->connections; const auto &connection : connections) {
        if (state == link_state::Reset) {
            resetBoth(proxy, connection);
            continue;
        }
        connectToTarget(proxy, connection);
        passOn(proxy, connection, link_side::Client);
        passOn(proxy, connection, link_side::Server);
    }
}

} // namespace

auto startProxy(worker_pool &pool, const endpoint &address, const endpoint &target)
        -> result<link_proxy>
{
    boost::system::error_code error;
    const auto targetIp = asio::ip::make_address(target.address, error);
    const auto ip = error ? asio::ip::address() : asio::ip::make_address(address.address, error);
    if (error)
        return failure(error_code::InvalidInput, "an address of the proxy is invalid");
    auto impl = std::make_shared<link_proxy::internals>(pool.impl->context,
                                                        tcp::endpoint(targetIp, target.port));
    const tcp::endpoint local(ip, address.port);
    auto &acceptor = impl->acceptor;
    acceptor.open(local.protocol(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    // Callers' sockets hold no more than they would on a network, as for the servers.
    const int usualSegmentBytes = 1448;
    ::setsockopt(acceptor.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &usualSegmentBytes,
                 sizeof(usualSegmentBytes));
    acceptor.bind(local, error);
    if (!error)
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error)
        return failure(error_code::Unreachable, formatEndpoint(address) + ": " + error.message());
    acceptNext(impl);
    return link_proxy{std::move(impl)};
}

auto setLink(link_proxy &proxy, link_state state, duration delay) -> void
{
    asio::post(proxy.impl->strand,
               [impl = proxy.impl, state, delay] { applyState(impl, state, delay); });
}

} // namespace parsleyloft
