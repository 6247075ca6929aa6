// Remote procedure calls between entry hosts. Requests and replies are messages of the schema in
// frames; each host opens one connection to every peer that it calls.
#pragma once

#include "core/error.h"
#include "core/time.h"
#include "generated/peer.pb.h"
#include "transport/worker_pool.h"

#include <functional>
#include <memory>

namespace parsleyloft {

template<typename reply>
using peer_responder = std::function<void(reply)>;

// The handlers with which a host serves its peers. Called on a worker. A call whose handler is
// empty is answered as not served.
struct peer_handlers
{
    std::function<void(wire::ExchangeRequest, peer_responder<wire::ExchangeReply>)> exchange;
    std::function<void(wire::ConsentRequest, peer_responder<wire::ConsentReply>)> consent;
    std::function<void(wire::ForwardRequest, peer_responder<wire::ForwardReply>)> forward;
    std::function<void(wire::PermitRequest, peer_responder<wire::PermitReply>)> requestPermit;
    std::function<void(wire::PermitReturn)> returnPermit;
    std::function<void(wire::SyncRequest, peer_responder<wire::SyncReply>)> sync;
    std::function<void(wire::QuotaRequest, peer_responder<wire::QuotaReply>)> requestTokens;
};

struct peer_server
{
    struct internals;
    std::shared_ptr<internals> impl;
};

struct peer_client
{
    struct internals;
    std::shared_ptr<internals> impl;
};

// Listens on the address "ip:port". Fails with InvalidInput for a malformed address and with
// Unreachable if the port is in use.
auto startPeerServer(worker_pool &pool, const std::string &address, peer_handlers handlers)
        -> result<peer_server>;

// Rejects new calls, waits up to the time limit for calls in progress, then stops listening and
// closes all connections. Blocks until workers finish, so it must not be called from a worker.
auto stopPeerServer(peer_server &server, duration timeLimit) -> void;

auto makePeerClient(worker_pool &pool) -> peer_client;

// Starts opening a connection to a peer ahead of the first call, without waiting for it.
auto connectPeer(peer_client &client, const std::string &address) -> void;

// Errors: Unreachable if the request was not sent or the peer did not serve it, otherwise TimedOut
// or Unknown. The first calls to a peer wait for the connection to be established. After a
// connection is lost, calls fail until it has been reestablished.
auto callExchange(peer_client &client, const std::string &address,
                  const wire::ExchangeRequest &request, duration timeout,
                  std::function<void(result<wire::ExchangeReply>)> done) -> void;
auto callConsent(peer_client &client, const std::string &address,
                 const wire::ConsentRequest &request, duration timeout,
                 std::function<void(result<wire::ConsentReply>)> done) -> void;
auto callForward(peer_client &client, const std::string &address,
                 const wire::ForwardRequest &request, duration timeout,
                 std::function<void(result<wire::ForwardReply>)> done) -> void;
auto callRequestPermit(peer_client &client, const std::string &address,
                       const wire::PermitRequest &request, duration timeout,
                       std::function<void(result<wire::PermitReply>)> done) -> void;
// Sends a message that has no reply. Returns false if there is no open connection.
auto sendPermitReturn(peer_client &client, const std::string &address,
                      const wire::PermitReturn &returned) -> bool;
auto callSync(peer_client &client, const std::string &address, const wire::SyncRequest &request,
              duration timeout, std::function<void(result<wire::SyncReply>)> done) -> void;
auto callQuota(peer_client &client, const std::string &address, const wire::QuotaRequest &request,
               duration timeout, std::function<void(result<wire::QuotaReply>)> done) -> void;

} // namespace parsleyloft
