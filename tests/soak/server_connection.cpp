// One connection of a server of the soak.
#include "soak/server_connection.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace parsleyloft {

namespace {

constexpr std::string_view lineEnd = "\r\n";

auto receiveMore(server_connection &connection) -> bool
{
    constexpr std::size_t partBytes = std::size_t(16) * 1024;
    if (connection.socket < 0)
        return false;
    std::string part(partBytes, '\0');
    const auto count = ::recv(connection.socket, part.data(), part.size(), 0);
    if (count <= 0)
        return false;
    connection.received.append(part, 0, static_cast<std::size_t>(count));
    return true;
}

// Takes the bytes up to the end mark, and the mark.
auto takeUntil(server_connection &connection, std::string_view end) -> std::optional<std::string>
{
    std::size_t position = 0;
    while ((position = connection.received.find(end)) == std::string::npos) {
        if (!receiveMore(connection))
            return std::nullopt;
    }
    auto taken = connection.received.substr(0, position);
    connection.received.erase(0, position + end.size());
    return taken;
}

auto takeBytes(server_connection &connection, std::size_t count) -> std::optional<std::string>
{
    while (connection.received.size() < count) {
        if (!receiveMore(connection))
            return std::nullopt;
    }
    auto taken = connection.received.substr(0, count);
    connection.received.erase(0, count);
    return taken;
}

auto parseHead(std::string_view text) -> http_request
{
    http_request request;
    const auto startLine = text.substr(0, text.find(lineEnd));
    const auto targetStart = startLine.find(' ') + 1;
    const auto targetEnd = startLine.find(' ', targetStart);
    request.method = startLine.substr(0, targetStart - 1);
    request.target = startLine.substr(targetStart, targetEnd - targetStart);
    text.remove_prefix(std::min(startLine.size() + lineEnd.size(), text.size()));
    while (!text.empty()) {
        const auto line = text.substr(0, text.find(lineEnd));
        text.remove_prefix(std::min(line.size() + lineEnd.size(), text.size()));
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            continue;
        const auto value = line.find_first_not_of(' ', colon + 1);
        addHeader(request.headers, line.substr(0, colon),
                  value == std::string_view::npos ? std::string()
                                                  : std::string(line.substr(value)));
    }
    return request;
}

auto readChunks(server_connection &connection, std::string &body) -> bool
{
    constexpr int hexadecimal = 16;
    while (true) {
        const auto sizeLine = takeUntil(connection, lineEnd);
        if (!sizeLine)
            return false;
        const auto size = std::strtoul(sizeLine->c_str(), nullptr, hexadecimal);
        // Trailers are not expected.
        const auto chunk = takeBytes(connection, size + lineEnd.size());
        if (!chunk)
            return false;
        if (size == 0)
            return true;
        body.append(*chunk, 0, size);
    }
}

} // namespace

auto awaitBytes(const server_connection &connection, duration limit) -> bool
{
    if (!connection.received.empty())
        return true;
    pollfd polled{connection.socket, POLLIN, 0};
    return ::poll(&polled, 1, static_cast<int>(toMilliseconds(limit))) > 0;
}

auto readRequestHead(server_connection &connection) -> std::optional<http_request>
{
    const auto head = takeUntil(connection, "\r\n\r\n");
    return head ? std::optional(parseHead(*head)) : std::nullopt;
}

auto readRequestBody(server_connection &connection, http_request &request) -> bool
{
    if (findHeader(request.headers, "Transfer-Encoding") != nullptr)
        return readChunks(connection, request.body);
    const auto *length = findHeader(request.headers, "Content-Length");
    if (length == nullptr)
        return true;
    auto body = takeBytes(connection, std::stoul(*length));
    if (!body)
        return false;
    request.body = std::move(*body);
    return true;
}

auto sendBytes(server_connection &connection, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto count = connection.socket < 0
                ? -1
                : ::send(connection.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

auto closeConnection(server_connection &connection) -> void
{
    if (connection.socket >= 0)
        ::close(connection.socket);
    connection.socket = -1;
}

auto resetConnection(server_connection &connection) -> void
{
    if (connection.socket < 0)
        return;
    const linger hard{1, 0};
    ::setsockopt(connection.socket, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    closeConnection(connection);
}

} // namespace parsleyloft
