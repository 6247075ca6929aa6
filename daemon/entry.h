// Caller requests at the host that received them: checks, routing, forwarding and repeats.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

struct class_request
{
    class_name className;
    request_id id;
    std::string key;
    std::string body;
    // The caller's own time limit. The shorter of this and the limit of the class applies.
    std::optional<duration> limit;
    // True when the caller states that it has sent the same request before.
    bool repeated = false;
    // Set once the caller has given the request up. Null when that is not known.
    std::shared_ptr<const std::atomic<bool>> givenUp;
};

// The outcome of a request that is refused: not run, or unknown if the caller has sent it before,
// since the earlier attempt may have run.
auto refusalOf(bool repeated, reason cause) -> request_outcome;

// Processes a caller's request. The callback runs exactly once.
auto handleCallerRequest(daemon_process &daemon, class_request request,
                         std::function<void(request_outcome)> respond) -> void;

// Processes a request that another host forwarded.
auto handleForward(daemon_process &daemon, const wire::ForwardRequest &request,
                   peer_responder<wire::ForwardReply> respond) -> void;

} // namespace parsleyloft
