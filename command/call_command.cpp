// The subcommand that sends one request as a caller.
#include "command/call_command.h"

#include "core/outcome.h"
#include "transport/blocking_call.h"

#include <iostream>
#include <random>

namespace parsleyloft {

namespace options = boost::program_options;

namespace {

// Longer than the longest deadline that a caller may set, which is 10 minutes.
constexpr duration callTimeout = 11min;

struct call_options
{
    // ip:port of the entry host.
    std::string address;
    std::string className;
    std::string key;
    std::string id;
    std::string body;
    bool repeated = false;
};

auto drawRequestId() -> std::string
{
    std::random_device source;
    return std::to_string(source()) + "-" + std::to_string(source());
}

auto toRequest(const call_options &call) -> http_request
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/call/" + call.className;
    request.headers["Request-Id"] = call.id.empty() ? drawRequestId() : call.id;
    if (!call.key.empty())
        request.headers["Key"] = call.key;
    if (call.repeated)
        request.headers["Repeated"] = "yes";
    request.body = call.body;
    return request;
}

auto printResponse(const http_response &response) -> exit_code
{
    const auto outcomeName = headerValue(response.headers, "Parsleyloft-Outcome");
    const auto reasonName = headerValue(response.headers, "Parsleyloft-Reason");
    if (outcomeName == nameIn(outcomeNames, outcome::Answered)) {
        std::cout << response.body << "\n";
        return exit_code::Success;
    }
    std::cerr << "status=" << response.status << " outcome=" << outcomeName
              << " reason=" << reasonName << "\n";
    // Only a host states that the request was not run. The status alone may come from a proxy.
    return outcomeName == nameIn(outcomeNames, outcome::NotRun) ? exit_code::Failed
                                                                : exit_code::Unknown;
}

} // namespace

auto runCall(const arguments &rest) -> exit_code
{
    call_options call;
    options::options_description known("options");
    known.add_options()("help", "show this text");
    known.add_options()("at", options::value(&call.address)->required(),
                        "ip:port of any entry host");
    known.add_options()("class", options::value(&call.className)->required(), "class of work");
    known.add_options()("key", options::value(&call.key), "key, for a service with keys");
    known.add_options()("id", options::value(&call.id), "request id; a random one by default");
    known.add_options()("body", options::value(&call.body), "body of the request");
    known.add_options()("repeated", options::bool_switch(&call.repeated),
                        "the same request id was sent before");
    options::variables_map values;
    const auto exitCode = parseOptions(rest, known, {}, values);
    if (exitCode)
        return *exitCode;
    const auto target = parseEndpoint(call.address);
    if (!target) {
        std::cerr << target.error().detail << "\n";
        return exit_code::Usage;
    }
    const auto workers = startWorkers(1);
    auto client = makeHttpClient(*workers, 0);
    const auto result = callAndWait(client, *target, toRequest(call), callTimeout);
    if (result.failure == http_failure::None)
        return printResponse(result.response);
    std::cerr << call.address << ": " << nameIn(httpFailureNames, result.failure) << "\n";
    return result.failure == http_failure::NotSent ? exit_code::Unreachable : exit_code::Unknown;
}

} // namespace parsleyloft
