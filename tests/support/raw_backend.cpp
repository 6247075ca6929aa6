// A backend server of `parsleyloft serve` whose answers to requests are given byte by byte.
#include "support/raw_backend.h"

#include "codec/json.h"
#include "transport/worker_pool.h"

#include <sys/socket.h>

namespace parsleyloft {

namespace {

// Receives the rest of a request whose headers have been received.
auto receiveBody(raw_connection &connection) -> std::string
{
    const auto length = rawHeader(connection, "Content-Length");
    const auto bodyStart = connection.request.find("\r\n\r\n") + 4;
    const auto end = bodyStart + (length.empty() ? 0 : std::stoul(length));
    while (connection.request.size() < end) {
        char bytes[4096];
        const auto count = ::recv(connection.socket, bytes, sizeof(bytes), 0);
        if (count <= 0)
            break;
        connection.request.append(bytes, static_cast<std::size_t>(count));
    }
    return connection.request.substr(bodyStart);
}

auto handleRequest(raw_backend &backend, raw_connection &connection) -> bool
{
    const auto body = receiveBody(connection);
    if (connection.request.starts_with("POST /run "))
        return backend.run(connection, rawHeader(connection, "Request-Id"));
    wire::GrantRequest grant;
    if (!readLenientJson(body, grant))
        return false;
    raw_grant answer;
    {
        const std::lock_guard guard(backend.lock);
        answer = backend.grant;
    }
    return answer ? answer(connection, grant) : sendAll(connection, grantResponse(grant, true));
}

} // namespace

raw_backend::raw_backend(raw_run onRun)
    : run(std::move(onRun))
    , raw([this](raw_connection &connection) { return handleRequest(*this, connection); })
{ }

auto rawResponse(const std::string &statusAndHeaders, const std::string &body) -> std::string
{
    return "HTTP/1.1 " + statusAndHeaders + "Keep-Alive: timeout=10\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto grantResponse(const wire::GrantRequest &grant, bool accepted) -> std::string
{
    wire::GrantReply reply;
    reply.set_accepted(accepted);
    reply.set_clock_us(toMicroseconds(monotonicNow()));
    reply.set_start_number(1);
    *reply.mutable_group_epoch() = grant.group_epoch();
    return rawResponse("200 OK\r\n", toJson(reply));
}

} // namespace parsleyloft
