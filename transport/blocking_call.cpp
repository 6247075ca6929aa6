// A blocking HTTP call, for command-line programs and tests.
#include "transport/blocking_call.h"

#include <future>

namespace parsleyloft {

auto callAndWait(http_client &client, const endpoint &to, http_request request, duration timeout)
        -> http_outcome
{
    auto promise = std::make_shared<std::promise<http_outcome>>();
    auto future = promise->get_future();
    sendHttp(client, to, std::move(request), {timeout, {}},
             [promise](http_outcome outcome) { promise->set_value(std::move(outcome)); });
    return future.get();
}

} // namespace parsleyloft
