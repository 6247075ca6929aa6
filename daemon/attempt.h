// One attempt of a request at one backend server, from its start to its end.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

struct attempt
{
    group_id group;
    shared_request request;
    server_id server;
    endpoint address;
    // The epoch under which the owner holds the key's shard.
    epoch shardEpoch;
    bool keyed = false;
    instant startedAt{};
    // After this instant neither the lease nor the caller allows the request to run.
    instant deadline{};
    // The same on the server's own clock, when that is known.
    std::optional<std::int64_t> serverDeadline;
    bool hedged = false;
};

// Counts the attempt as running. Called with holdings and group locked.
auto beginAttempt(daemon_process &daemon, group_table &table, const group_id &group,
                  const shared_request &request, const server_id &server, instant now) -> attempt;

auto sendAttempt(daemon_process &daemon, attempt one) -> void;

} // namespace parsleyloft
