// A blocking HTTP call, for command-line programs and tests.
#pragma once

#include "transport/http_client.h"

namespace parsleyloft {

// Sends the request and waits for its outcome. Must not be called from a worker of the client's
// pool.
auto callAndWait(http_client &client, const endpoint &to, http_request request, duration timeout)
        -> http_outcome;

} // namespace parsleyloft
