// Calls between entry hosts: the side that asks.
#include "transport/peer_connection.h"

#include "transport/peer_link.h"

#include <algorithm>
#include <map>

namespace parsleyloft {

namespace {

// Bounds of the wait before a lost connection to a peer is tried again.
constexpr duration firstReconnect = 50ms;
constexpr duration longestReconnect = 500ms;
// How often calls are looked through for those whose time is over.
constexpr duration expiryLook = 20ms;

// The connection to one peer.
struct peer_channel
{
    // Empty while none stands.
    shared_connection connection;
    bool connecting = false;
    // True once an attempt to connect has ended.
    bool tried = false;
    instant nextConnect{};
    duration pause = 0us;
    // Who waits for the end of the first attempt.
    std::vector<std::function<void(const shared_connection &)>> waiting;
};

using reply_body = result<std::string>;

struct waiting_call
{
    std::string address;
    shared_connection over;
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
    std::map<std::uint64_t, waiting_call> calls;
    std::uint64_t nextCall = 1;
    bool lookPlanned = false;
};

namespace {

using shared_client = std::shared_ptr<peer_client::internals>;

auto takeCall(peer_client::internals &client, std::uint64_t number, const shared_connection &over)
        -> std::function<void(reply_body)>
{
    const std::lock_guard guard(client.lock);
    const auto found = client.calls.find(number);
    if (found == client.calls.end() || found->second.over != over)
        return {};
    auto done = std::move(found->second.done);
    client.calls.erase(found);
    return done;
}

auto takeReply(const shared_client &client, const shared_connection &over, wire::PeerFrame frame)
        -> void
{
    const auto done = takeCall(*client, frame.call(), over);
    // The time of a call may be over when its reply comes.
    if (!done)
        return;
    if (frame.unserved())
        done(failure(error_code::Unreachable, "not served by the peer"));
    else
        done(std::move(*frame.mutable_body()));
}

// Removes the calls that match, with their callbacks.
template<typename predicate>
auto takeCalls(peer_client::internals &client, predicate matches) -> std::vector<waiting_call>
{
    std::vector<waiting_call> taken;
    for (auto one = client.calls.begin(); one != client.calls.end();) {
        if (matches(one->second)) {
            taken.push_back(std::move(one->second));
            one = client.calls.erase(one);
        } else {
            ++one;
        }
    }
    return taken;
}

auto connect(const shared_client &client, const std::string &address) -> void;

auto noteClosed(const shared_client &client, const std::string &address,
                const shared_connection &closed, const std::string &why) -> void
{
    std::vector<waiting_call> ended;
    {
        const std::lock_guard guard(client->lock);
        auto &channel = client->channels[address];
        if (channel.connection == closed)
            channel.connection = nullptr;
        ended = takeCalls(*client, [&](const auto &call) { return call.over == closed; });
    }
    for (const auto &call : ended)
        call.done(failure(error_code::Unknown, "connection to " + address + " ended: " + why));
    // The next call should find a connection.
    connect(client, address);
}

auto beginReading(const shared_client &client, const std::string &address,
                  const shared_connection &opened) -> void;

auto noteOpened(const shared_client &client, const std::string &address,
                const shared_connection &opened) -> void
{
    std::vector<std::function<void(const shared_connection &)>> waiting;
    {
        const std::lock_guard guard(client->lock);
        auto &channel = client->channels[address];
        const auto pause = std::clamp(channel.pause * 2, firstReconnect, longestReconnect);
        channel.connecting = false;
        channel.tried = true;
        channel.connection = opened;
        channel.pause = opened == nullptr ? pause : 0us;
        channel.nextConnect = monotonicNow() + pause;
        waiting.swap(channel.waiting);
    }
    if (opened != nullptr)
        beginReading(client, address, opened);
    for (const auto &use : waiting)
        use(opened);
}

auto beginReading(const shared_client &client, const std::string &address,
                  const shared_connection &opened) -> void
{
    connection_handlers handlers;
    // The connection drops its handlers when it closes.
    handlers.onFrame = [client, opened](wire::PeerFrame frame) {
        takeReply(client, opened, std::move(frame));
    };
    handlers.onClosed = [client, opened, address](const std::string &why) {
        noteClosed(client, address, opened, why);
    };
    beginPeerConnection(opened, std::move(handlers));
}

// Opens a connection unless one stands, is on its way, or was tried just now.
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
        noteOpened(client, address, nullptr);
        return;
    }
    openPeerConnection(client->pool, *to, [client, address](const shared_connection &opened) {
        noteOpened(client, address, opened);
    });
}

auto endExpired(const shared_client &client) -> void;

// Called with the client's lock.
auto planLook(const shared_client &client) -> void
{
    if (client->calls.empty() || std::exchange(client->lookPlanned, true))
        return;
    postAfter(client->pool, expiryLook, [client] { endExpired(client); });
}

// Closes the connection, and gives it to no later call.
auto abandon(const shared_client &client, const waiting_call &call) -> void
{
    {
        const std::lock_guard guard(client->lock);
        auto &channel = client->channels[call.address];
        if (channel.connection == call.over)
            channel.connection = nullptr;
    }
    closePeerConnection(call.over, "silent");
}

auto endExpired(const shared_client &client) -> void
{
    const auto now = monotonicNow();
    std::vector<waiting_call> ended;
    {
        const std::lock_guard guard(client->lock);
        client->lookPlanned = false;
        ended = takeCalls(*client, [now](const auto &call) { return now >= call.deadline; });
        planLook(client);
    }
    for (const auto &call : ended) {
        // A connection may go silent for good without an error.
        if (fromMicroseconds(call.over->heardAt) < call.sentAt)
            abandon(client, call);
        call.done(failure(error_code::TimedOut, "no reply in time"));
    }
}

auto standingConnection(const shared_client &client, const std::string &address)
        -> shared_connection
{
    {
        const std::lock_guard guard(client->lock);
        if (auto &channel = client->channels[address]; channel.connection)
            return channel.connection;
    }
    connect(client, address);
    return nullptr;
}

auto registerCall(const shared_client &client, waiting_call call) -> std::uint64_t
{
    const std::lock_guard guard(client->lock);
    const auto number = client->nextCall++;
    client->calls[number] = std::move(call);
    planLook(client);
    return number;
}

auto sendCall(const shared_client &client, const shared_connection &over, waiting_call call,
              wire::PeerFrame frame) -> void
{
    if (over == nullptr) {
        call.done(failure(error_code::Unreachable, "no connection to " + call.address));
        return;
    }
    call.over = over;
    call.sentAt = monotonicNow();
    frame.set_call(registerCall(client, std::move(call)));
    sendFrame(over, frame);
}

// Hands on the connection that stands, or nothing. The first one is waited for.
auto withConnection(const shared_client &client, const std::string &address,
                    std::function<void(const shared_connection &)> use) -> void
{
    shared_connection standing;
    {
        const std::lock_guard guard(client->lock);
        auto &channel = client->channels[address];
        standing = channel.connection;
        if (standing == nullptr && !channel.tried)
            channel.waiting.push_back(std::exchange(use, nullptr));
    }
    if (standing == nullptr)
        connect(client, address);
    if (use)
        use(standing);
}

// Starts a call only over a connection that stands, so that a call which fails as unreachable
// is known not to have left.
template<typename reply, typename request>
auto startCall(peer_client &client, const std::string &address, wire::PeerMethod method,
               const request &message, duration timeout, std::function<void(result<reply>)> done)
        -> void
{
    wire::PeerFrame frame;
    frame.set_method(method);
    message.SerializeToString(frame.mutable_body());
    waiting_call call;
    call.address = address;
    call.deadline = monotonicNow() + timeout;
    call.done = [done = std::move(done)](const reply_body &ended) {
        reply decoded;
        if (!ended)
            done(tl::unexpected(ended.error()));
        else if (decoded.ParseFromString(*ended))
            done(std::move(decoded));
        else
            done(failure(error_code::Unknown, "unreadable reply"));
    };
    withConnection(client.impl, address,
                   [impl = client.impl, call = std::move(call),
                    frame = std::move(frame)](const shared_connection &over) mutable {
                       sendCall(impl, over, std::move(call), std::move(frame));
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

auto sendPermitReturn(peer_client &client, const std::string &address,
                      const wire::PermitReturn &returned) -> bool
{
    const auto over = standingConnection(client.impl, address);
    if (over == nullptr)
        return false;
    wire::PeerFrame frame;
    frame.set_method(wire::PEER_METHOD_RETURN_PERMIT);
    returned.SerializeToString(frame.mutable_body());
    sendFrame(over, frame);
    return true;
}

} // namespace parsleyloft
