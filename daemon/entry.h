// Requests of callers at the host where they enter: checks, routing, forwarding, repeats.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

struct caller_request
{
    class_name className;
    request_id id;
    std::string key;
    std::string body;
    // The caller's own limit, if shorter than the class's.
    std::optional<duration> limit;
    // True when the caller sent the same request before.
    bool repeated = false;
};

// Carries a caller's request to its end. The callback runs exactly once.
auto handleCallerRequest(daemon_process &daemon, caller_request request,
                         std::function<void(request_outcome)> respond) -> void;

// Answers a request that another host forwarded.
auto handleForward(daemon_process &daemon, const wire::ForwardRequest &request,
                   peer_responder<wire::ForwardReply> respond) -> void;

} // namespace parsleyloft
