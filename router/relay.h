// News of the store and of the owners of keys, passed from the leader to the other hosts.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// Asks the leader for news again and again; this host watches the store itself while there
// is no leader that answers.
auto beginRelay(router_process &router) -> void;

// At the leader: answers a host once there is something that it does not know.
auto answerSync(router_process &router, wire::SyncRequest request,
                peer_responder<wire::SyncReply> respond) -> void;

// Something has changed that waiting hosts should hear.
auto planFlush(router_process &router) -> void;

// Answers hosts that have waited for as long as they asked.
auto answerExpiredWaits(router_process &router) -> void;

} // namespace parsleyloft
