// Calls between entry hosts: the side that answers.
#include "transport/peer_connection.h"

#include "transport/peer_link.h"

#include <boost/asio/post.hpp>
#include <condition_variable>
#include <set>

namespace parsleyloft {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

} // namespace

struct peer_server::internals
{
    internals(asio::io_context &on, peer_handlers answers)
        : context(on)
        , acceptor(asio::make_strand(on))
        , handlers(std::move(answers))
    { }

    asio::io_context &context;
    tcp::acceptor acceptor;
    peer_handlers handlers;
    std::mutex lock;
    // All guarded by lock.
    std::set<shared_connection> connections;
    std::size_t open = 0;
    bool stopping = false;
    std::condition_variable allEnded;
};

namespace {

using shared_server = std::shared_ptr<peer_server::internals>;

// Counts a call as under way, unless the server stops.
auto beginCall(peer_server::internals &server) -> bool
{
    const std::lock_guard guard(server.lock);
    if (server.stopping)
        return false;
    ++server.open;
    return true;
}

auto endCall(peer_server::internals &server) -> void
{
    const std::lock_guard guard(server.lock);
    if (--server.open == 0)
        server.allEnded.notify_all();
}

auto replyFrame(const wire::PeerFrame &asked) -> wire::PeerFrame
{
    wire::PeerFrame frame;
    frame.set_call(asked.call());
    frame.set_method(asked.method());
    frame.set_reply(true);
    return frame;
}

auto replyUnserved(const shared_connection &to, const wire::PeerFrame &asked) -> void
{
    auto frame = replyFrame(asked);
    frame.set_unserved(true);
    sendFrame(to, frame);
}

template<typename request, typename reply>
auto serveCall(const shared_server &server, const shared_connection &from,
               const wire::PeerFrame &asked,
               const std::function<void(request, peer_responder<reply>)> &handler) -> void
{
    request message;
    if (!handler || !message.ParseFromString(asked.body()) || !beginCall(*server)) {
        replyUnserved(from, asked);
        return;
    }
    handler(std::move(message), [server, from, frame = replyFrame(asked)](const reply &ready) {
        auto answer = frame;
        ready.SerializeToString(answer.mutable_body());
        sendFrame(from, answer);
        endCall(*server);
    });
}

auto takeReturn(const peer_server::internals &server, const wire::PeerFrame &told) -> void
{
    wire::PermitReturn returned;
    if (server.handlers.returnPermit && returned.ParseFromString(told.body()))
        server.handlers.returnPermit(std::move(returned));
}

auto dispatch(const shared_server &server, const shared_connection &from,
              const wire::PeerFrame &frame) -> void
{
    const auto &handlers = server->handlers;
    switch (frame.method()) {
    case wire::PEER_METHOD_ASK_PERMIT:
        serveCall(server, from, frame, handlers.requestPermit);
        return;
    case wire::PEER_METHOD_RETURN_PERMIT:
        takeReturn(*server, frame);
        return;
    case wire::PEER_METHOD_SYNC:
        serveCall(server, from, frame, handlers.sync);
        return;
    case wire::PEER_METHOD_EXCHANGE:
        serveCall(server, from, frame, handlers.exchange);
        return;
    case wire::PEER_METHOD_CONSENT:
        serveCall(server, from, frame, handlers.consent);
        return;
    case wire::PEER_METHOD_FORWARD:
        serveCall(server, from, frame, handlers.forward);
        return;
    default:
        replyUnserved(from, frame);
    }
}

auto serve(const shared_server &server, const shared_connection &connection) -> void
{
    {
        const std::lock_guard guard(server->lock);
        server->connections.insert(connection);
    }
    connection_handlers handlers;
    handlers.onFrame = [server, connection](const wire::PeerFrame &frame) {
        dispatch(server, connection, frame);
    };
    handlers.onClosed = [server, connection](const std::string &) {
        const std::lock_guard guard(server->lock);
        server->connections.erase(connection);
    };
    beginPeerConnection(connection, std::move(handlers));
}

auto acceptNext(const shared_server &server) -> void
{
    server->acceptor.async_accept(
            asio::make_strand(server->context),
            [server](boost::system::error_code failed, peer_socket socket) {
                if (failed == asio::error::operation_aborted || !server->acceptor.is_open())
                    return;
                if (!failed)
                    serve(server, std::make_shared<peer_connection>(std::move(socket)));
                acceptNext(server);
            });
}

} // namespace

auto startPeerServer(worker_pool &pool, const std::string &address, peer_handlers handlers)
        -> result<peer_server>
{
    const auto at = parseEndpoint(address);
    boost::system::error_code failed;
    const auto ip = at ? asio::ip::make_address(at->address, failed) : asio::ip::address();
    if (!at || failed)
        return failure(error_code::InvalidInput, "'" + address + "' is not an address");
    auto impl = std::make_shared<peer_server::internals>(pool.impl->context, std::move(handlers));
    const tcp::endpoint where(ip, at->port);
    auto &acceptor = impl->acceptor;
    acceptor.open(where.protocol(), failed);
    acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    acceptor.bind(where, failed);
    if (!failed)
        acceptor.listen(tcp::acceptor::max_listen_connections, failed);
    if (failed)
        return failure(error_code::Unreachable, address + ": " + failed.message());
    acceptNext(impl);
    return peer_server{std::move(impl)};
}

auto stopPeerServer(peer_server &server, duration limit) -> void
{
    auto &impl = *server.impl;
    std::set<shared_connection> connections;
    {
        std::unique_lock guard(impl.lock);
        impl.stopping = true;
        impl.allEnded.wait_for(guard, limit, [&] { return impl.open == 0; });
        connections = impl.connections;
    }
    asio::post(impl.acceptor.get_executor(), [held = server.impl] {
        boost::system::error_code ignored;
        held->acceptor.close(ignored);
    });
    for (const auto &connection : connections)
        closePeerConnection(connection, "this host stops");
}

} // namespace parsleyloft
