// A host that has not received a configuration yet, as a process: it knows no limits of callers, so
// it refuses what may be proper with 503, which callers send again, and not as too large.
#include "support/answer_reader.h"
#include "support/site_cluster.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <sys/wait.h>
#include <thread>

namespace parsleyloft {

namespace {

constexpr duration answerLimit = 8s;
constexpr std::size_t largeBodyBytes = 200 * 1000;

struct host_without_a_configuration : site_cluster
{
    host_without_a_configuration()
    {
        setStoreFaults(*store, {.unavailable = true});
        for (const auto &name : {"host-0", "host-1"}) {
            kill(processes.at(name), SIGKILL);
            waitpid(processes.at(name), nullptr, 0);
        }
        processes.clear();
        startRoutingHost(*this, 0);
        waitUntil("the host answers",
                  [&] { return callHost(*this, 0, {}).response.status == 503; });
    }

    auto connect() -> std::unique_ptr<caller_socket>
    {
        auto socket = connectTo(callerAddress(*this, 0), limit());
        REQUIRE(socket != nullptr);
        return socket;
    }

    auto answerTo(const std::string &bytes) -> caller_answer
    {
        const auto socket = connect();
        sendBytes(*socket, bytes, limit(), false);
        return readFinalAnswer(*socket, limit());
    }

    static auto limit() -> instant { return monotonicNow() + answerLimit; }
};

auto orderHead(const std::string &id, const std::string &headers) -> std::string
{
    return "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 3000\r\n" + headers + "\r\n";
}

auto lengthHeader(std::size_t bytes) -> std::string
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

// A body of whole requests.
auto bodyOfRequests(std::size_t bytes) -> std::string
{
    std::string body;
    while (body.size() < bytes)
        body += orderHead("within", lengthHeader(0));
    body.resize(bytes);
    return body;
}

auto checkRefusal(const caller_answer &answer, const std::string &id) -> void
{
    CAPTURE(id);
    CHECK(answer.end == answer_end::Whole);
    CHECK(answer.status == 503);
    CHECK(answer.requestId == id);
    CHECK(answer.retryAfter > 0us);
}

} // namespace

// Guards against DENIED: a host that knows no configuration applies limits of its own, and callers
// never send the request again.
TEST_CASE_METHOD(host_without_a_configuration,
                 "large_body_gets_503_from_a_host_without_a_configuration")
{
    const auto body = bodyOfRequests(largeBodyBytes);
    const auto chunked = "10000\r\n" + body.substr(0, 0x10000) + "\r\n10000\r\n"
            + body.substr(0x10000, 0x10000) + "\r\n0\r\n\r\n";
    for (int round = 0; round < 10; ++round) {
        const auto id = std::to_string(round);
        const auto counted = orderHead("counted-" + id, lengthHeader(body.size())) + body;
        checkRefusal(answerTo(counted), "counted-" + id);
        const auto inChunks =
                orderHead("chunked-" + id, "Transfer-Encoding: chunked\r\n") + chunked;
        checkRefusal(answerTo(inChunks), "chunked-" + id);
    }
}

// The same for headers. Those that are too large to be read at all leave their request without id.
TEST_CASE_METHOD(host_without_a_configuration,
                 "large_headers_get_503_from_a_host_without_a_configuration")
{
    const auto orderWithNote = [](std::size_t bytes) {
        const auto note = "X-Note: " + std::string(bytes, 'n') + "\r\n";
        return orderHead("headers", note + lengthHeader(0));
    };
    constexpr std::size_t readableBytes = 60 * 1000;
    checkRefusal(answerTo(orderWithNote(readableBytes)), "headers");
    const auto answer = answerTo(orderWithNote(2 * readableBytes));
    CHECK(answer.status == 503);
    CHECK(answer.retryAfter > 0us);
}

// Guards against UNASKED and TWICE: the rest of a body that was refused is taken for the next
// requests of the connection, also when the configuration comes meanwhile.
TEST_CASE_METHOD(host_without_a_configuration, "rest_of_a_refused_body_is_not_taken_for_a_request")
{
    const auto body = bodyOfRequests(largeBodyBytes);
    const auto socket = connect();
    const auto bytes = orderHead("refused", lengthHeader(body.size())) + body;
    const auto sent = bytes.size() - largeBodyBytes / 2;
    sendBytes(*socket, std::string_view(bytes).substr(0, sent), limit(), false);
    const auto answer = readFinalAnswer(*socket, limit());
    checkRefusal(answer, "refused");
    CHECK_FALSE(answer.keepsConnection);
    setStoreFaults(*store, {});
    waitUntil("the host serves", [&] { return callHost(*this, 0, {}).response.status == 200; });
    sendBytes(*socket, std::string_view(bytes).substr(sent), limit(), false);
    const auto next = readFinalAnswer(*socket, limit());
    CHECK(next.status == 0);
    std::this_thread::sleep_for(500ms);
    CHECK(runsOf(*this, "within") == 0);
    CHECK(runsOf(*this, "refused") == 0);
}

} // namespace parsleyloft
