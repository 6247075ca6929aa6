// Requests at the host that holds their group: admission, queueing and dispatch to the servers.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Accepts a request for a group. Its respond function is called exactly once, with not run when
// this host may not send it. repeated is set when the caller has sent the request before.
auto acceptRequest(daemon_process &daemon, const group_id &group, const shared_request &request,
                   bool repeated) -> void;

// Starts the queued requests that can start and ends those whose deadline has passed.
auto dispatchGroup(daemon_process &daemon, const group_id &group) -> void;

// Ends waiting requests as not run, so that their entry hosts may send them elsewhere.
auto returnRequests(const std::vector<shared_request> &requests, reason cause) -> void;

// Removes the requests with the given tickets from a group's table. Called with the group locked.
auto removeRequests(group_table &table, const std::vector<ticket> &tickets, instant now)
        -> std::vector<shared_request>;

} // namespace parsleyloft
