// The HTTP interface for callers and operators, described in docs/PROTOCOL.md.
#include "daemon/http_api.h"

#include "codec/configuration_codec.h"
#include "codec/json.h"
#include "daemon/dump.h"
#include "daemon/entry.h"
#include "daemon/operators.h"
#include "generated/operator.pb.h"

#include <charconv>

namespace parsleyloft {

namespace {

constexpr std::string_view callPrefix = "/v1/call/";
constexpr std::string_view classPrefix = "/v1/classes/";
constexpr std::size_t maxRequestIdLength = 128;
constexpr std::size_t maxKeyLength = 512;

auto parseNumber(const std::string &text) -> std::optional<std::uint64_t>
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data(), end, number);
    if (text.empty() || failed != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

auto jsonResponse(unsigned status, const google::protobuf::Message &message) -> http_response
{
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = toJson(message) + "\n";
    return response;
}

auto statusOf(error_code code) -> unsigned
{
    switch (code) {
    case error_code::InvalidInput:
        return 400;
    case error_code::NotFound:
        return 404;
    case error_code::Conflict:
        return 409;
    case error_code::TimedOut:
    case error_code::Unknown:
        return 504;
    case error_code::Unreachable:
    case error_code::NotLeader:
    case error_code::Rejected:
        return 503;
    case error_code::HistoryLost:
        return 410;
    }
    return 500;
}

auto errorResponse(const error &failed) -> http_response
{
    wire::ErrorAnswer answer;
    answer.set_error(std::string(nameIn(errorCodeNames, failed.code)));
    answer.set_detail(failed.detail);
    return jsonResponse(statusOf(failed.code), answer);
}

auto errorResponse(error_code code, std::string detail) -> http_response
{
    return errorResponse(error{code, std::move(detail)});
}

auto statusOf(const request_outcome &reported) -> unsigned
{
    if (reported.result == outcome::Answered)
        return 200;
    // The statuses below state that the request was not run.
    if (reported.result != outcome::NotRun)
        return reported.cause == reason::DeadlinePassed ? 504 : 502;
    switch (reported.cause) {
    case reason::BadRequest:
    case reason::MissingKey:
    case reason::MissingRequestId:
        return 400;
    case reason::UnknownClass:
        return 404;
    case reason::TooLarge:
        return 413;
    case reason::QueueFull:
    case reason::WaitTooLong:
    case reason::ShedForOthers:
        return 429;
    default:
        return 503;
    }
}

auto toResponse(const request_id &id, request_outcome &&reported) -> http_response
{
    http_response response;
    response.status = statusOf(reported);
    response.headers["Request-Id"] = id;
    response.headers["Parsleyloft-Outcome"] = std::string(nameIn(outcomeNames, reported.result));
    response.headers["Parsleyloft-Reason"] = std::string(nameIn(reasonNames, reported.cause));
    response.body = std::move(reported.body);
    return response;
}

auto isRepeated(const http_request &request) -> bool
{
    return headerValue(request.headers, "Repeated") == "yes";
}

auto parseCall(const http_request &request) -> tl::expected<class_request, reason>
{
    class_request call;
    call.className = std::string(targetPath(request.target).substr(callPrefix.size()));
    call.id = headerValue(request.headers, "Request-Id");
    call.key = headerValue(request.headers, "Key");
    call.repeated = isRepeated(request);
    if (call.id.size() > maxRequestIdLength || call.key.size() > maxKeyLength)
        return tl::unexpected(reason::BadRequest);
    const auto limit = headerValue(request.headers, "Deadline-Ms");
    if (limit.empty())
        return call;
    const auto milliseconds = parseNumber(limit);
    constexpr std::uint64_t longestLimitMs = 600'000;
    if (!milliseconds || *milliseconds == 0 || *milliseconds > longestLimitMs)
        return tl::unexpected(reason::BadRequest);
    call.limit = std::chrono::milliseconds(*milliseconds);
    return call;
}

auto handleCall(daemon_process &daemon, http_request request, http_responder respond) -> void
{
    auto call = parseCall(request);
    if (!call || request.method != "POST") {
        respond(toResponse(headerValue(request.headers, "Request-Id"),
                           refusalOf(isRepeated(request), reason::BadRequest)));
        return;
    }
    call->body = std::move(request.body);
    const auto givenUp = std::make_shared<std::atomic<bool>>(false);
    onCallerDisconnect(request.caller, [givenUp] { *givenUp = true; });
    call->givenUp = givenUp;
    const auto id = call->id;
    handleCallerRequest(daemon, std::move(*call),
                        [id, respond = std::move(respond)](request_outcome reported) {
                            respond(toResponse(id, std::move(reported)));
                        });
}

auto expectedRevision(const http_request &request) -> std::optional<std::uint64_t>
{
    return parseNumber(headerValue(request.headers, "If-Match"));
}

auto applyAndRespond(daemon_process &daemon, const http_request &request,
                     const configuration_change &change, http_responder respond) -> void
{
    changeConfiguration(daemon, change, expectedRevision(request),
                        [respond = std::move(respond)](const result<configuration> &reply) {
                            if (reply)
                                respond(jsonResponse(200, toWire(*reply)));
                            else
                                respond(errorResponse(reply.error()));
                        });
}

auto handleClassChange(daemon_process &daemon, const http_request &request, http_responder respond)
        -> void
{
    const auto name = std::string(targetPath(request.target).substr(classPrefix.size()));
    if (request.method == "DELETE") {
        applyAndRespond(daemon, request, remove_class{name}, std::move(respond));
        return;
    }
    wire::ClassOfWork message;
    const auto parsed = readJson(request.body, message);
    if (!parsed || request.method != "PUT") {
        respond(errorResponse(parsed ? error{error_code::InvalidInput, "use PUT or DELETE"}
                                     : parsed.error()));
        return;
    }
    message.set_name(name);
    applyAndRespond(daemon, request, set_class{fromWire(message)}, std::move(respond));
}

auto handleServiceChange(daemon_process &daemon, const http_request &request, bool isDomain,
                         http_responder respond) -> void
{
    wire::SetService message;
    const auto parsed = readJson(request.body, message);
    if (!parsed) {
        respond(errorResponse(parsed.error()));
        return;
    }
    if (isDomain)
        applyAndRespond(daemon, request, set_domain{message.id(), message.out()},
                        std::move(respond));
    else
        applyAndRespond(daemon, request, set_host{message.id(), message.out()}, std::move(respond));
}

auto handleHealth(daemon_process &daemon) -> http_response
{
    const auto config = currentConfiguration(daemon);
    const auto outOfService = config.evacuatedDomains.contains(daemon.self.domain)
            || config.evacuatedHosts.contains(daemon.self.id);
    http_response response;
    response.status = daemon.draining || outOfService ? 503 : 200;
    response.body = daemon.draining ? "draining\n"
            : outOfService          ? "out of service\n"
                                    : "serving\n";
    return response;
}

auto handleMetrics(daemon_process &daemon) -> http_response
{
    http_response response;
    response.headers["Content-Type"] = "text/plain; version=0.0.4";
    response.body = renderMetrics(daemon.counters);
    return response;
}

auto handleLinks(daemon_process &daemon, const http_request &request) -> http_response
{
    if (!daemon.settings.allow_link_cuts())
        return errorResponse(error_code::NotFound, "allow_link_cuts is not set");
    wire::LinkCuts message;
    const auto parsed = readJson(request.body, message);
    if (!parsed)
        return errorResponse(parsed.error());
    const std::lock_guard guard(daemon.linkCuts.lock);
    daemon.linkCuts.peers = {message.peers().begin(), message.peers().end()};
    daemon.linkCuts.platform = message.platform();
    return jsonResponse(200, message);
}

auto handleRead(daemon_process &daemon, std::string_view path) -> http_response
{
    if (path == "/health")
        return handleHealth(daemon);
    if (path == "/metrics")
        return handleMetrics(daemon);
    if (path == "/v1/dump")
        return jsonResponse(200, dumpState(daemon));
    if (path == "/v1/configuration")
        return jsonResponse(200, toWire(currentConfiguration(daemon)));
    return errorResponse(error_code::NotFound, "no such resource: " + std::string(path));
}

} // namespace

auto handleHttp(daemon_process &daemon, http_request request, http_responder respond) -> void
{
    const auto path = targetPath(request.target);
    if (path.starts_with(callPrefix))
        handleCall(daemon, std::move(request), std::move(respond));
    else if (path.starts_with(classPrefix))
        handleClassChange(daemon, request, std::move(respond));
    else if (path == "/v1/domains" && request.method == "POST")
        handleServiceChange(daemon, request, true, std::move(respond));
    else if (path == "/v1/hosts" && request.method == "POST")
        handleServiceChange(daemon, request, false, std::move(respond));
    else if (path == "/test/links" && request.method == "POST")
        respond(handleLinks(daemon, request));
    else if (request.method == "GET")
        respond(handleRead(daemon, path));
    else
        respond(errorResponse(error_code::NotFound, "no such resource: " + std::string(path)));
}

} // namespace parsleyloft
