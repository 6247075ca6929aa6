// Remote procedure calls between entry hosts: the client side.
#include "transport/peer_connection.h"

#include "transport/peer_link.h"

#include <algorithm>
#include <map>

namespace parsleyloft {

namespace {

// Bounds of the delay before reconnecting to a peer. The delay doubles after each failure.
constexpr duration minReconnectDelay = 50ms;
constexpr duration maxReconnectDelay = 500ms;
// How often calls are checked for expired deadlines.
constexpr duration expiryCheckPeriod = 20ms;

// The connection to one peer.
struct peer_channel
{
    // Null while there is no open connection.
    shared_connection connection;
    bool connecting = false;
    // True once the first attempt to connect has ended.
    bool attempted = false;
    instant nextConnect{};
    duration reconnectDelay = 0us;
    // Called with the result of the first attempt.
    std::vector<std::function<void(const shared_connection &)>> waiting;
};

using reply_body = result<std::string>;

struct pending_call
{
    std::string address;
    shared_connection connection;
    instant sentAt{};
    instant deadline{};
    std::function<void(reply_body)> done;
};

} // namespace

struct peer_client::internals
{
    explicit internals(worker_pool &workers)
        : pool(workers)
    { }

    worker_pool &pool;
    std::mutex lock;
    // All guarded by lock.
    std::map<std::string, peer_channel> channels;
    std::map<std::uint64_t, pending_call> calls;
    std::uint64_t nextCall = 1;
    bool expiryCheckScheduled = false;
};

namespace {

using shared_client = std::shared_ptr<peer_client::internals>;

// Removes a call that was sent over the connection and returns its callback, or an empty function
// if there is no such call.
auto takeCall(peer_client::internals &client, std::uint64_t number,
              const shared_connection &connection) -> std::function<void(reply_body)>
{
    const std::lock_guard guard(client.lock);
    const auto found = client.calls.find(number);
    if (found == client.calls.end() || found->second.connection != connection)
        return {};
    auto done = std::move(found->second.done);
    client.calls.erase(found);
    return done;
}

auto takeReply(const shared_client &client, const shared_connection &connection,
               wire::PeerFrame frame) -> void
{
    const auto done = takeCall(*client, frame.call(), connection);
    // The call may have timed out before its reply arrived.
    if (!done)
        return;
    if (frame.unserved())
        done(failure(error_code::Unreachable, "the peer does not serve this call"));
    else
        done(std::move(*frame.mutable_body()));
}

// Removes and returns the calls that match.
template<typename predicate>
auto takeCalls(peer_client::internals &client, predicate matches) -> std::vector<pending_call>
{
    std::vector<pending_call> taken;
    for (auto call = client.calls.begin(); call != client.calls.end();) {
        if (matches(call->second)) {
            taken.push_back(std::move(call->second));
            call = client.calls.erase(call);
        } else {
            ++call;
        }
    }
    return taken;
}

auto connect(const shared_client &client, const std::string &address) -> void;

// Fails the calls that were in progress on a closed connection, and reconnects.
auto handleClosed(const shared_client &client, const std::string &address,
                  const shared_connection &closed, const std::string &reason) -> void
{
    std::vector<pending_call> failed;
    {
        const std::lock_guard guard(client->lock);
        auto &channel = client->channels[address];
        if (channel.connection == closed)
            channel.connection = nullptr;
        failed = takeCalls(*client, [&](const auto &call) { return call.connection == closed; });
    }
    for (const auto &call : failed)
        call.done(failure(error_code::Unknown, "connection to " + address + " closed: " + reason));
    // Reconnect now, so that the next call finds an open connection.
    connect(client, address);
}

auto startReading(const shared_client &client, const std::string &address,
                  const shared_connection &opened) -> void;

// Records the result of an attempt to connect and resumes the calls that waited for it. The
// connection is null if the attempt failed.
auto handleOpened(const shared_client &client, const std::string &address,
                  const shared_connection &opened) -> void
{
    std::vector<std::function<void(const shared_connection &)>> waiting;
    {
        const std::lock_guard guard(client->lock);
        auto &channel = client->channels[address];
        const auto delay =
                std::clamp(channel.reconnectDelay * 2, minReconnectDelay, maxReconnectDelay);
        channel.connecting = false;
        channel.attempted = true;
        channel.connection = opened;
        channel.reconnectDelay = opened == nullptr ? delay : 0us;
        channel.nextConnect = monotonicNow() + delay;
        waiting.swap(channel.waiting);
    }
    if (opened != nullptr)
        startReading(client, address, opened);
    for (const auto &proceed : waiting)
        proceed(opened);
}

auto startReading(const shared_client &client, const std::string &address,
                  const shared_connection &opened) -> void
{
    connection_handlers handlers;
    // The reference cycle between the connection and its handlers ends when the connection closes
    // and drops them.
    handlers.onFrame = [client, opened](wire::PeerFrame frame) {
        takeReply(client, opened, std::move(frame));
    };
    handlers.onClosed = [client, opened, address](const std::string &reason) {
        handleClosed(client, address, opened, reason);
    };
    beginPeerConnection(opened, std::move(handlers));
}

// Opens a connection unless one is open, being opened, or due only after the reconnect delay.
auto connect(const shared_client &client, const std::string &address) -> void
{
    {
        const std::lock_guard guard(client->lock);
        auto &channel = client->channels[address];
        if (channel.connection || channel.connecting || monotonicNow() < channel.nextConnect)
            return;
        channel.connecting = true;
    }
    const auto to = parseEndpoint(address);
    if (!to) {
        handleOpened(client, address, nullptr);
        return;
    }
    openPeerConnection(client->pool, *to, [client, address](const shared_connection &opened) {
        handleOpened(client, address, opened);
    });
}

auto failExpiredCalls(const shared_client &client) -> void;

// Must be called with the client's lock held.
auto scheduleExpiryCheck(const shared_client &client) -> void
{
    if (client->calls.empty() || std::exchange(client->expiryCheckScheduled, true))
        return;
    postAfter(client->pool, expiryCheckPeriod, [client] { failExpiredCalls(client); });
}

// Closes the connection of a call, so that no later call uses it.
auto abandonConnection(const shared_client &client, const pending_call &call) -> void
{
    {
        const std::lock_guard guard(client->lock);
        auto &channel = client->channels[call.address];
        if (channel.connection == call.connection)
            channel.connection = nullptr;
    }
    closePeerConnection(call.connection, "no data received since an expired call was sent");
}

auto failExpiredCalls(const shared_client &client) -> void
{
    const auto now = monotonicNow();
    std::vector<pending_call> expired;
    {
        const std::lock_guard guard(client->lock);
        client->expiryCheckScheduled = false;
        expired = takeCalls(*client, [now](const auto &call) { return now >= call.deadline; });
        scheduleExpiryCheck(client);
    }
    for (const auto &call : expired) {
        // A broken connection may stop delivering data without reporting an error. It is replaced
        // if nothing has been received since the call was sent.
        if (fromMicroseconds(call.connection->lastReceivedUs) < call.sentAt)
            abandonConnection(client, call);
        call.done(failure(error_code::TimedOut, "no reply before the deadline"));
    }
}

// Returns the open connection to a peer. Otherwise starts to connect and returns null.
auto openConnectionTo(const shared_client &client, const std::string &address) -> shared_connection
{
    {
        const std::lock_guard guard(client->lock);
        if (auto &channel = client->channels[address]; channel.connection)
            return channel.connection;
    }
    connect(client, address);
    return nullptr;
}

auto registerCall(const shared_client &client, pending_call call) -> std::uint64_t
{
    const std::lock_guard guard(client->lock);
    const auto number = client->nextCall++;
    client->calls[number] = std::move(call);
    scheduleExpiryCheck(client);
    return number;
}

auto sendCall(const shared_client &client, const shared_connection &connection, pending_call call,
              wire::PeerFrame frame) -> void
{
    if (connection == nullptr) {
        call.done(failure(error_code::Unreachable, "no connection to " + call.address));
        return;
    }
    call.connection = connection;
    call.sentAt = monotonicNow();
    frame.set_call(registerCall(client, std::move(call)));
    sendFrame(connection, frame);
}

// Calls back with the open connection to a peer, or with null if there is none. Before the first
// attempt to connect has ended, the callback waits for its result.
auto withConnection(const shared_client &client, const std::string &address,
                    std::function<void(const shared_connection &)> proceed) -> void
{
    shared_connection connection;
    {
        const std::lock_guard guard(client->lock);
        auto &channel = client->channels[address];
        connection = channel.connection;
        if (connection == nullptr && !channel.attempted)
            channel.waiting.push_back(std::exchange(proceed, nullptr));
    }
    if (connection == nullptr)
        connect(client, address);
    if (proceed)
        proceed(connection);
}

// Sends a request only over a connection that is already open, so that a call that fails as
// Unreachable is known not to have been processed.
template<typename reply, typename request>
auto startCall(peer_client &client, const std::string &address, wire::PeerMethod method,
               const request &message, duration timeout, std::function<void(result<reply>)> done)
        -> void
{
    wire::PeerFrame frame;
    frame.set_method(method);
    message.SerializeToString(frame.mutable_body());
    pending_call call;
    call.address = address;
    call.deadline = monotonicNow() + timeout;
    call.done = [done = std::move(done)](const reply_body &response) {
        reply decoded;
        if (!response)
            done(tl::unexpected(response.error()));
        else if (decoded.ParseFromString(*response))
            done(std::move(decoded));
        else
            done(failure(error_code::Unknown, "the reply could not be decoded"));
    };
    withConnection(client.impl, address,
                   [impl = client.impl, call = std::move(call),
                    frame = std::move(frame)](const shared_connection &connection) mutable {
                       sendCall(impl, connection, std::move(call), std::move(frame));
                   });
}

} // namespace

auto makePeerClient(worker_pool &pool) -> peer_client
{
    return {std::make_shared<peer_client::internals>(pool)};
}

auto connectPeer(peer_client &client, const std::string &address) -> void
{
    connect(client.impl, address);
}

auto callExchange(peer_client &client, const std::string &address,
                  const wire::ExchangeRequest &request, duration timeout,
                  std::function<void(result<wire::ExchangeReply>)> done) -> void
{
    startCall<wire::ExchangeReply>(client, address, wire::PEER_METHOD_EXCHANGE, request, timeout,
                                   std::move(done));
}

auto callConsent(peer_client &client, const std::string &address,
                 const wire::ConsentRequest &request, duration timeout,
                 std::function<void(result<wire::ConsentReply>)> done) -> void
{
    startCall<wire::ConsentReply>(client, address, wire::PEER_METHOD_CONSENT, request, timeout,
                                  std::move(done));
}

auto callForward(peer_client &client, const std::string &address,
                 const wire::ForwardRequest &request, duration timeout,
                 std::function<void(result<wire::ForwardReply>)> done) -> void
{
    startCall<wire::ForwardReply>(client, address, wire::PEER_METHOD_FORWARD, request, timeout,
                                  std::move(done));
}

auto callRequestPermit(peer_client &client, const std::string &address,
                       const wire::PermitRequest &request, duration timeout,
                       std::function<void(result<wire::PermitReply>)> done) -> void
{
    startCall<wire::PermitReply>(client, address, wire::PEER_METHOD_ASK_PERMIT, request, timeout,
                                 std::move(done));
}

auto callSync(peer_client &client, const std::string &address, const wire::SyncRequest &request,
              duration timeout, std::function<void(result<wire::SyncReply>)> done) -> void
{
    startCall<wire::SyncReply>(client, address, wire::PEER_METHOD_SYNC, request, timeout,
                               std::move(done));
}

auto callQuota(peer_client &client, const std::string &address, const wire::QuotaRequest &request,
               duration timeout, std::function<void(result<wire::QuotaReply>)> done) -> void
{
    startCall<wire::QuotaReply>(client, address, wire::PEER_METHOD_QUOTA, request, timeout,
                                std::move(done));
}

auto sendPermitReturn(peer_client &client, const std::string &address,
                      const wire::PermitReturn &returned) -> bool
{
    const auto connection = openConnectionTo(client.impl, address);
    if (connection == nullptr)
        return false;
    wire::PeerFrame frame;
    frame.set_method(wire::PEER_METHOD_RETURN_PERMIT);
    returned.SerializeToString(frame.mutable_body());
    sendFrame(connection, frame);
    return true;
}

} // namespace parsleyloft
