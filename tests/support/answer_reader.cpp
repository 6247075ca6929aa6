// Reads the answers that a caller receives.
#include "support/answer_reader.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace parsleyloft {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr unsigned firstFinalStatus = 200;

// Names in lower case.
using answer_headers = std::map<std::string, std::string>;

auto toLower(std::string_view text) -> std::string
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

auto valueOf(const answer_headers &headers, const std::string &name) -> std::string
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

template<typename number>
auto readNumber(std::string_view text, int base) -> std::optional<number>
{
    number value{};
    const auto *last = text.data() + text.size();
    const auto read = std::from_chars(text.data(), last, value, base);
    return read.ec == std::errc() && read.ptr == last ? std::optional(value) : std::nullopt;
}

// How an answer ends if no more bytes of it came.
auto endOf(receive_end received, bool begun) -> answer_end
{
    if (received == receive_end::Late)
        return answer_end::Late;
    return begun ? answer_end::Cut : answer_end::Nothing;
}

// Receives until the text occurs, and takes the bytes up to its end. Sets the end of the answer if
// it does not come.
auto takeUntil(caller_socket &socket, std::string_view text, instant until, caller_answer &answer)
        -> std::optional<std::string>
{
    auto found = socket.received.find(text);
    while (found == std::string::npos) {
        const auto received = receiveMore(socket, until);
        if (received != receive_end::Data) {
            answer.end = endOf(received, answer.status != 0 || !socket.received.empty());
            return std::nullopt;
        }
        found = socket.received.find(text);
    }
    auto taken = socket.received.substr(0, found);
    socket.received.erase(0, found + text.size());
    return taken;
}

auto readHeaders(std::string_view lines) -> std::optional<answer_headers>
{
    answer_headers headers;
    while (!lines.empty()) {
        const auto line = lines.substr(0, lines.find(lineEnd));
        lines.remove_prefix(std::min(line.size() + lineEnd.size(), lines.size()));
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        const auto start = std::min(line.find_first_not_of(' ', colon + 1), line.size());
        headers[toLower(line.substr(0, colon))] = std::string(line.substr(start));
    }
    return headers;
}

auto readHead(std::string_view head, caller_answer &answer) -> std::optional<answer_headers>
{
    constexpr std::string_view version = "HTTP/1.1 ";
    constexpr std::size_t digits = 3;
    const auto line = head.substr(0, head.find(lineEnd));
    if (!line.starts_with(version))
        return std::nullopt;
    const auto status = readNumber<unsigned>(line.substr(version.size(), digits), 10);
    head.remove_prefix(std::min(line.size() + lineEnd.size(), head.size()));
    auto headers = readHeaders(head);
    if (!status || !headers)
        return std::nullopt;
    answer.status = *status;
    answer.requestId = valueOf(*headers, "x-request-id");
    answer.keepsConnection = toLower(valueOf(*headers, "connection")) != "close";
    const auto seconds = std::strtod(valueOf(*headers, "retry-after").c_str(), nullptr);
    answer.retryAfter =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    return headers;
}

// Moves the given number of bytes to the body.
auto takeBytes(caller_socket &socket, std::size_t count, instant until, caller_answer &answer)
        -> bool
{
    while (socket.received.size() < count) {
        const auto received = receiveMore(socket, until);
        if (received != receive_end::Data) {
            answer.end = endOf(received, true);
            return false;
        }
    }
    answer.body += socket.received.substr(0, count);
    socket.received.erase(0, count);
    return true;
}

auto readChunks(caller_socket &socket, instant until, caller_answer &answer) -> void
{
    while (true) {
        const auto line = takeUntil(socket, lineEnd, until, answer);
        if (!line)
            return;
        const auto size = readNumber<std::size_t>(line->substr(0, line->find(';')), 16);
        if (!size) {
            answer.end = answer_end::Malformed;
            return;
        }
        if (*size > 0 && !takeBytes(socket, *size, until, answer))
            return;
        // The end of the chunk, or of an empty trailer.
        const auto end = takeUntil(socket, lineEnd, until, answer);
        if (!end || !end->empty()) {
            answer.end = end ? answer_end::Malformed : answer.end;
            return;
        }
        if (*size == 0) {
            answer.end = answer_end::Whole;
            return;
        }
    }
}

// Reads a body that ends with the connection.
auto readToClose(caller_socket &socket, instant until, caller_answer &answer) -> void
{
    auto received = receive_end::Data;
    while (received == receive_end::Data)
        received = receiveMore(socket, until);
    answer.body = std::exchange(socket.received, {});
    answer.keepsConnection = false;
    answer.end = received == receive_end::Closed ? answer_end::Whole : endOf(received, true);
}

auto readBody(caller_socket &socket, const answer_headers &headers, instant until,
              caller_answer &answer) -> void
{
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    answer.end = answer_end::Whole;
    if (answer.status < firstFinalStatus || answer.status == noContent
        || answer.status == notModified)
        return;
    if (toLower(valueOf(headers, "transfer-encoding")) == "chunked") {
        readChunks(socket, until, answer);
        return;
    }
    const auto length = valueOf(headers, "content-length");
    if (length.empty()) {
        readToClose(socket, until, answer);
        return;
    }
    const auto count = readNumber<std::size_t>(length, 10);
    if (!count)
        answer.end = answer_end::Malformed;
    else
        takeBytes(socket, *count, until, answer);
}

} // namespace

auto isInterim(const caller_answer &answer) -> bool
{
    return answer.end == answer_end::Whole && answer.status < firstFinalStatus;
}

auto readAnswer(caller_socket &socket, instant until) -> caller_answer
{
    caller_answer answer;
    const auto head = takeUntil(socket, headEnd, until, answer);
    if (!head)
        return answer;
    const auto headers = readHead(*head, answer);
    if (!headers) {
        answer.end = answer_end::Malformed;
        return answer;
    }
    readBody(socket, *headers, until, answer);
    return answer;
}

auto readFinalAnswer(caller_socket &socket, instant until) -> caller_answer
{
    auto answer = readAnswer(socket, until);
    while (isInterim(answer))
        answer = readAnswer(socket, until);
    return answer;
}

} // namespace parsleyloft
