// A backend server of `parsleyloft serve` whose answers to requests are given byte by byte. It
// accepts every grant, unless a test answers grants too.
#pragma once

#include "generated/server.pb.h"
#include "support/raw_server.h"

#include <map>
#include <mutex>

namespace parsleyloft {

// Answers one request, whose id is given. Returns false once the caller has closed the connection.
using raw_run = std::function<bool(raw_connection &, const std::string &)>;

// Answers one grant in the same way.
using raw_grant = std::function<bool(raw_connection &, const wire::GrantRequest &)>;

struct raw_backend
{
    explicit raw_backend(raw_run onRun);

    raw_run run;
    std::mutex lock;
    // Both guarded by lock. Grants are accepted while there is no answer to them.
    raw_grant grant;
    // How often each request ran, recorded by the test.
    std::map<std::string, int> runs;
    raw_server raw;
};

// A complete response. The first argument holds the status and further headers, each with its line
// break.
auto rawResponse(const std::string &statusAndHeaders, const std::string &body) -> std::string;

// The response to a grant.
auto grantResponse(const wire::GrantRequest &grant, bool accepted) -> std::string;

} // namespace parsleyloft
