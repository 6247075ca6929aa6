// One attempt to run a request at one backend server, from its start to its outcome.
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
    // The earlier of the end of this host's lease, for keyed work, and the caller's deadline.
    instant deadline{};
    // The deadline on the server's own clock, in microseconds, when that clock is known.
    std::optional<std::int64_t> serverDeadline;
    bool hedged = false;
};

// Creates an attempt and counts it as running. Called with holdings and group locked.
auto beginAttempt(daemon_process &daemon, group_table &table, const group_id &group,
                  const shared_request &request, const server_id &server, instant now) -> attempt;

auto sendAttempt(daemon_process &daemon, attempt current) -> void;

} // namespace parsleyloft
