// Remote procedure calls between entry hosts: the server side.
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
    internals(asio::io_context &ioContext, peer_handlers callHandlers)
        : context(ioContext)
        , acceptor(asio::make_strand(ioContext))
        , handlers(std::move(callHandlers))
    { }

    asio::io_context &context;
    tcp::acceptor acceptor;
    peer_handlers handlers;
    std::mutex lock;
    // All guarded by lock.
    std::set<shared_connection> connections;
    std::size_t callsInProgress = 0;
    bool stopping = false;
    std::condition_variable allCallsEnded;
};

namespace {

using shared_server = std::shared_ptr<peer_server::internals>;

// Counts a call as in progress. Returns false if the server is stopping.
auto beginCall(peer_server::internals &server) -> bool
{
    const std::lock_guard guard(server.lock);
    if (server.stopping)
        return false;
    ++server.callsInProgress;
    return true;
}

auto endCall(peer_server::internals &server) -> void
{
    const std::lock_guard guard(server.lock);
    if (--server.callsInProgress == 0)
        server.allCallsEnded.notify_all();
}

auto replyFrame(const wire::PeerFrame &requestFrame) -> wire::PeerFrame
{
    wire::PeerFrame frame;
    frame.set_call(requestFrame.call());
    frame.set_method(requestFrame.method());
    frame.set_reply(true);
    return frame;
}

auto replyUnserved(const shared_connection &to, const wire::PeerFrame &requestFrame) -> void
{
    auto frame = replyFrame(requestFrame);
    frame.set_unserved(true);
    sendFrame(to, frame);
}

template<typename request, typename reply>
auto serveCall(const shared_server &server, const shared_connection &from,
               const wire::PeerFrame &requestFrame,
               const std::function<void(request, peer_responder<reply>)> &handler) -> void
{
    request message;
    if (!handler || !message.ParseFromString(requestFrame.body()) || !beginCall(*server)) {
        replyUnserved(from, requestFrame);
        return;
    }
    handler(std::move(message),
            [server, from, frame = replyFrame(requestFrame)](const reply &replyMessage) {
                auto response = frame;
                replyMessage.SerializeToString(response.mutable_body());
                sendFrame(from, response);
                endCall(*server);
            });
}

auto handlePermitReturn(const peer_server::internals &server, const wire::PeerFrame &frame) -> void
{
    wire::PermitReturn returned;
    if (server.handlers.returnPermit && returned.ParseFromString(frame.body()))
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
        handlePermitReturn(*server, frame);
        return;
    case wire::PEER_METHOD_SYNC:
        serveCall(server, from, frame, handlers.sync);
        return;
    case wire::PEER_METHOD_QUOTA:
        serveCall(server, from, frame, handlers.requestTokens);
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

auto serveConnection(const shared_server &server, const shared_connection &connection) -> void
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
            [server](boost::system::error_code error, peer_socket socket) {
                if (error == asio::error::operation_aborted || !server->acceptor.is_open())
                    return;
                if (!error)
                    serveConnection(server, std::make_shared<peer_connection>(std::move(socket)));
                acceptNext(server);
            });
}

} // namespace

auto startPeerServer(worker_pool &pool, const std::string &address, peer_handlers handlers)
        -> result<peer_server>
{
    const auto parsed = parseEndpoint(address);
    boost::system::error_code error;
    const auto ip = parsed ? asio::ip::make_address(parsed->address, error) : asio::ip::address();
    if (!parsed || error)
        return failure(error_code::InvalidInput,
                       "'" + address + "' is not an address of the form ip:port");
    auto impl = std::make_shared<peer_server::internals>(pool.impl->context, std::move(handlers));
    const tcp::endpoint localEndpoint(ip, parsed->port);
    auto &acceptor = impl->acceptor;
    acceptor.open(localEndpoint.protocol(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(localEndpoint, error);
    if (!error)
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error)
        return failure(error_code::Unreachable, address + ": " + error.message());
    acceptNext(impl);
    return peer_server{std::move(impl)};
}

auto stopPeerServer(peer_server &server, duration timeLimit) -> void
{
    auto &impl = *server.impl;
    std::set<shared_connection> connections;
    {
        std::unique_lock guard(impl.lock);
        impl.stopping = true;
        impl.allCallsEnded.wait_for(guard, timeLimit, [&] { return impl.callsInProgress == 0; });
        connections = impl.connections;
    }
    asio::post(impl.acceptor.get_executor(), [impl = server.impl] {
        boost::system::error_code ignored;
        impl->acceptor.close(ignored);
    });
    for (const auto &connection : connections)
        closePeerConnection(connection, "this host is stopping");
}

} // namespace parsleyloft
