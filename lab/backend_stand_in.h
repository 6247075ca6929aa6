// A stand-in for a backend server that owns keys under fenced grants.
//
// Its behaviour is configured by command-line options and, at run time, by POST /test/faults. Its
// journal records the grants that it held and the requests that it ran.
#pragma once

#include "command/subcommand.h"
#include "decisions/assignment.h"
#include "transport/http_server.h"

namespace parsleyloft {

struct backend_options
{
    server_id id;
    service_name service;
    domain_id domain;
    std::uint32_t slots = 3;
    duration serviceTime = 5ms;
    duration connectionCost = 1ms;
    // Number of answers after which a cold server can run requests in all slots.
    std::uint32_t coldAnswers = 20;
    bool checksGrants = true;
    std::uint64_t seed = 1;
    std::string journalPath;
};

struct backend_stand_in
{
    struct internals;
    std::shared_ptr<internals> impl;
};

auto startBackend(worker_pool &pool, const endpoint &address, const backend_options &options)
        -> result<backend_stand_in>;

auto runBackend(const arguments &args) -> exit_code;

} // namespace parsleyloft
