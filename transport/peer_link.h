// Calls between entry hosts: the schema's messages in frames over one connection each way.
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

// What a host answers to its peers. Called on a worker.
struct peer_handlers
{
    std::function<void(wire::ExchangeRequest, peer_responder<wire::ExchangeReply>)> exchange;
    std::function<void(wire::ConsentRequest, peer_responder<wire::ConsentReply>)> consent;
    std::function<void(wire::ForwardRequest, peer_responder<wire::ForwardReply>)> forward;
    std::function<void(wire::PermitRequest, peer_responder<wire::PermitReply>)> requestPermit;
    std::function<void(wire::PermitReturn)> returnPermit;
    std::function<void(wire::SyncRequest, peer_responder<wire::SyncReply>)> sync;
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

// Listens at "ip:port". Fails with Unreachable when the port is taken.
auto startPeerServer(worker_pool &pool, const std::string &address, peer_handlers handlers)
        -> result<peer_server>;

// Serves no new calls, ends those under way after the limit, and stops listening. Waits for
// workers: not called from one.
auto stopPeerServer(peer_server &server, duration limit) -> void;

auto makePeerClient(worker_pool &pool) -> peer_client;

// Opens a connection to a peer that calls will go to, without waiting for it.
auto connectPeer(peer_client &client, const std::string &address) -> void;

// Errors: Unreachable when the call never left this host, TimedOut or Unknown otherwise. The first
// calls to a peer wait for its connection; when one is lost, later calls fail until it is back.
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
// Sends without waiting for a reply. Returns false when no connection stands.
auto sendPermitReturn(peer_client &client, const std::string &address,
                      const wire::PermitReturn &returned) -> bool;
auto callSync(peer_client &client, const std::string &address, const wire::SyncRequest &request,
              duration timeout, std::function<void(result<wire::SyncReply>)> done) -> void;

} // namespace parsleyloft
