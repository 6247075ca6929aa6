// A backend server of `parsleyloft serve` that accepts every grant and whose answers to requests
// are given byte by byte.
#pragma once

#include "support/raw_server.h"

#include <map>
#include <mutex>

namespace parsleyloft {

// Answers one request, whose id is given. Returns false once the caller has closed the connection.
using raw_run = std::function<bool(raw_connection &, const std::string &)>;

struct raw_backend
{
    explicit raw_backend(raw_run onRun);

    raw_run run;
    std::mutex lock;
    // Guarded by lock. How often each request ran, recorded by the test.
    std::map<std::string, int> runs;
    raw_server raw;
};

// A complete response. The first argument holds the status and further headers, each with its line
// break.
auto rawResponse(const std::string &statusAndHeaders, const std::string &body) -> std::string;

} // namespace parsleyloft
