// Store updates and ownership updates, sent from the leader to the other hosts on request.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// Reads the store's state once. A host that joins others serves with it until its updates come:
// they take longer when all hosts start at once.
auto beginEarlyReads(router_process &router) -> void;

// Starts requesting updates from the update source. While no source answers, this host watches the
// store itself.
auto beginUpdateSync(router_process &router) -> void;

// At an update source: answers once there are updates that the requesting host lacks, or when its
// wait is over.
auto answerSync(router_process &router, wire::SyncRequest request,
                peer_responder<wire::SyncReply> respond) -> void;

// Records that this host has the latest tables of owners, unless they were written before the store
// came back from an older copy.
auto recordOwnersCurrent(router_process &router) -> void;

// Schedules an answer to the waiting hosts, after a change of the store or of an ownership table.
auto scheduleUpdateFlush(router_process &router) -> void;

// Answers waiting hosts whose wait is over, and those affected by this host having become current
// or having stopped being so.
auto answerDueHosts(router_process &router) -> void;

} // namespace parsleyloft
