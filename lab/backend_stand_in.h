// A small stand-in for a backend server that owns keys by fenced grants.
//
// Its behaviour is set by flags and at run time by POST /test/faults. Its journal notes
// grants held and work run.
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
    // Answers that a cold server gives before it bears its full load.
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

auto startBackend(worker_pool &pool, const endpoint &at, const backend_options &options)
        -> result<backend_stand_in>;

auto runBackend(const arguments &rest) -> exit_code;

} // namespace parsleyloft
