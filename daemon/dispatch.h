// Requests at the host that may send them: queues, attempts at servers, and their ends.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Takes a request for a group. It ends exactly once, by its respond function, as not run
// when this host may not send it. repeated is set when the caller sent it before.
auto acceptRequest(daemon_process &daemon, const group_id &group, const shared_request &request,
                   bool repeated) -> void;

// Starts what can start and ends what is out of time.
auto dispatchGroup(daemon_process &daemon, const group_id &group) -> void;

// Ends waiting requests as not run, for their entry hosts to send elsewhere.
auto returnRequests(const std::vector<shared_request> &requests, reason why) -> void;

// Removes the given tickets from a group's table. Called with the group locked.
auto removeRequests(group_table &table, const std::vector<ticket> &tickets)
        -> std::vector<shared_request>;

} // namespace parsleyloft
