// One HTTP call that blocks its thread, for command-line programs and tests.
#include "transport/blocking_call.h"

#include <future>

namespace parsleyloft {

auto callAndWait(http_client &client, const endpoint &to, http_request request, duration timeout)
        -> http_outcome
{
    auto promise = std::make_shared<std::promise<http_outcome>>();
    auto ended = promise->get_future();
    sendHttp(client, to, std::move(request), {timeout, {}},
             [promise](http_outcome outcome) { promise->set_value(std::move(outcome)); });
    auto outcome = ended.get();
    // The default status would look like a success that never came.
    if (outcome.failure != http_failure::None)
        outcome.response.status = 0;
    return outcome;
}

} // namespace parsleyloft
