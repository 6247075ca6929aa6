// Calls to an entry host's operator interface, and exit codes for their errors.
#include "command/operator_client.h"

#include "codec/json.h"
#include "generated/operator.pb.h"
#include "transport/blocking_call.h"

#include <iostream>

namespace parsleyloft {

namespace {

constexpr duration callTimeout = 5s;

auto toError(const http_response &response) -> error
{
    wire::ErrorAnswer answer;
    // Not an answer of a host: that of a proxy before it does not show whether the host got the
    // call.
    if (!readLenientJson(response.body, answer))
        return {error_code::Unknown, "status " + std::to_string(response.status)};
    const auto code = valueIn(errorCodeNames, answer.error());
    return {code.value_or(error_code::Unknown), answer.detail()};
}

} // namespace

auto callHost(const std::string &address, http_request request) -> result<http_response>
{
    const auto target = parseEndpoint(address);
    if (!target)
        return tl::unexpected(target.error());
    const auto workers = startWorkers(1);
    auto client = makeHttpClient(*workers, 0);
    auto result = callAndWait(client, *target, std::move(request), callTimeout);
    if (result.failure == http_failure::NotSent)
        return failure(error_code::Unreachable, address + ": no connection");
    if (result.failure != http_failure::None)
        return failure(error_code::Unknown,
                       address + ": " + std::string(nameIn(httpFailureNames, result.failure)));
    if (result.response.status >= 300)
        return tl::unexpected(toError(result.response));
    return std::move(result.response);
}

auto exitCodeOf(error_code code) -> exit_code
{
    switch (code) {
    case error_code::InvalidInput:
        return exit_code::Usage;
    case error_code::NotFound:
        return exit_code::NotFound;
    case error_code::Conflict:
        return exit_code::Conflict;
    case error_code::Unreachable:
        return exit_code::Unreachable;
    case error_code::TimedOut:
    case error_code::Unknown:
        return exit_code::Unknown;
    case error_code::NotLeader:
    case error_code::Rejected:
    case error_code::HistoryLost:
        return exit_code::Failed;
    }
    return exit_code::Failed;
}

auto reportError(const error &error) -> exit_code
{
    std::cerr << nameIn(errorCodeNames, error.code) << ": " << error.detail << "\n";
    return exitCodeOf(error.code);
}

} // namespace parsleyloft
