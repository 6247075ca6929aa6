// A stand-in for the platform: key-value service, leases, watches and host list.
//
// It implements the part of Consul's HTTP API that the system uses. Faults are set by
// POST /test/faults, and GET /test/calls returns the number of calls.
#pragma once

#include "command/subcommand.h"
#include "transport/http_server.h"

namespace parsleyloft {

struct platform_stand_in
{
    struct internals;
    std::shared_ptr<internals> impl;
};

// Starts the stand-in. Servers that are registered as live or leaving are recorded in the journal,
// unless its path is empty.
auto startPlatform(worker_pool &pool, const endpoint &address, const std::string &journalPath)
        -> result<platform_stand_in>;

auto runPlatform(const arguments &args) -> exit_code;

} // namespace parsleyloft
