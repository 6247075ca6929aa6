// A small stand-in for the platform: key-value service, leases, watches, host list.
//
// It speaks the part of Consul's HTTP interface that the system uses. Faults are set by
// POST /test/faults, calls are counted at GET /test/calls.
#pragma once

#include "command/subcommand.h"
#include "transport/http_server.h"

namespace parsleyloft {

struct platform_stand_in
{
    struct internals;
    std::shared_ptr<internals> impl;
};

// The journal at the path notes servers that are listed as leaving. Empty for none.
auto startPlatform(worker_pool &pool, const endpoint &at, const std::string &journalPath)
        -> result<platform_stand_in>;

auto runPlatform(const arguments &rest) -> exit_code;

} // namespace parsleyloft
