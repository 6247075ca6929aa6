// The HTTP client and server against each other: a request gets a complete response or a failure.
#include "support/answer_reader.h"
#include "transport/blocking_call.h"
#include "transport/http_server.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace parsleyloft {

namespace {

struct server_and_client
{
    server_and_client()
    {
        // Uses the first free port.
        for (std::uint16_t port = 30100; port < 30200 && !server; ++port) {
            address = {"127.0.0.1", port};
            server = startHttpServer(
                    *pool, address, {1024, 0us},
                    [this](const http_request &request, const http_responder &respond) {
                        handler(request, respond);
                    });
        }
        REQUIRE(server);
    }

    ~server_and_client() { stopWorkers(*pool); }

    auto call(http_request request, const std::string &matchHeader = {}) -> http_outcome
    {
        request.method = "POST";
        auto promise = std::make_shared<std::promise<http_outcome>>();
        sendHttp(client, address, std::move(request), {2s, matchHeader},
                 [promise](http_outcome outcome) { promise->set_value(std::move(outcome)); });
        return promise->get_future().get();
    }

    std::unique_ptr<worker_pool> pool = startWorkers(2);
    endpoint address;
    http_handler handler = [](const http_request &request, const http_responder &respond) {
        http_response response;
        response.headers["Request-Id"] = headerValue(request.headers, "Request-Id");
        response.body = request.body;
        respond(std::move(response));
    };
    result<http_server> server = failure(error_code::Unreachable, "not started");
    http_client client = makeHttpClient(*pool, 4);
};

// A server that accepts the connection of a request, but reads late. Most of the request stays in
// the client's kernel until then, because the receive window is small.
struct client_of_a_late_reader
{
    client_of_a_late_reader()
    {
        listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int windowBytes = 2048;
        ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof(windowBytes));
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&bound), sizeof(bound)) == 0);
        REQUIRE(::listen(listener, 8) == 0);
        socklen_t size = sizeof(bound);
        ::getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &size);
        address = {"127.0.0.1", ntohs(bound.sin_port)};
        request.method = "POST";
        request.body.assign(bodyBytes, 'x');
    }

    ~client_of_a_late_reader()
    {
        ::close(connection);
        ::close(listener);
        stopWorkers(*pool);
    }

    auto send(duration timeout) -> http_exchange
    {
        http_send_options options;
        options.timeout = timeout;
        auto exchange = sendHttp(client, address, request, options, [this](http_outcome outcome) {
            ended.set_value(std::move(outcome));
        });
        connection = ::accept(listener, nullptr, nullptr);
        REQUIRE(connection >= 0);
        return exchange;
    }

    // Waits up to a second for bytes. Returns what recv returns, or -1 if nothing has come.
    auto receiveSome() -> ssize_t
    {
        constexpr int patienceMs = 1000;
        pollfd polled{connection, POLLIN, 0};
        char bytes[4096];
        if (::poll(&polled, 1, patienceMs) <= 0)
            return -1;
        const auto count = ::recv(connection, bytes, sizeof(bytes), 0);
        if (count > 0)
            received.append(bytes, static_cast<std::size_t>(count));
        return count;
    }

    // Returns false if the connection ends within the request, or nothing more comes.
    auto receiveRequest() -> bool
    {
        while (received.find(request.body) == std::string::npos) {
            if (receiveSome() <= 0)
                return false;
        }
        return true;
    }

    static constexpr std::size_t bodyBytes = std::size_t(64) * 1024;
    int listener = -1;
    int connection = -1;
    endpoint address;
    http_request request;
    std::string received;
    std::promise<http_outcome> ended;
    std::unique_ptr<worker_pool> pool = startWorkers(2);
    http_client client = makeHttpClient(*pool, 4);
};

} // namespace

TEST_CASE_METHOD(server_and_client, "request_gets_its_own_response", "[http]")
{
    http_request request;
    request.headers["Request-Id"] = "r1";
    request.body = "hello";
    const auto outcome = call(request, "Request-Id");
    CHECK(outcome.failure == http_failure::None);
    CHECK(outcome.response.body == "hello");
}

TEST_CASE_METHOD(server_and_client, "response_with_another_id_is_a_mismatch", "[http]")
{
    handler = [](const http_request &, const http_responder &respond) {
        http_response response;
        response.headers["Request-Id"] = "other";
        respond(std::move(response));
    };
    http_request request;
    request.headers["Request-Id"] = "r1";
    CHECK(call(request, "Request-Id").failure == http_failure::Mismatch);
}

TEST_CASE_METHOD(server_and_client, "response_with_a_truncated_body_is_lost", "[http]")
{
    handler = [](const http_request &, const http_responder &respond) {
        http_response response;
        response.body = "0123456789";
        response.truncateAfterBytes = 5;
        respond(std::move(response));
    };
    CHECK(call({}).failure == http_failure::ResponseLost);
}

TEST_CASE_METHOD(server_and_client, "connection_closed_without_a_response_is_lost", "[http]")
{
    handler = [](const http_request &, const http_responder &respond) {
        http_response response;
        response.status = 0;
        response.truncateAfterBytes = 0;
        respond(std::move(response));
    };
    CHECK(call({}).failure == http_failure::ResponseLost);
}

TEST_CASE_METHOD(server_and_client, "address_without_listener_is_not_sent", "[http]")
{
    address.port = 1;
    const auto outcome = call({});
    CHECK(outcome.failure == http_failure::NotSent);
    CHECK(outcome.response.status == 0);
}

// The size line of a chunk, and the trailer, are limited neither by the limit of headers nor by
// that of bodies: a caller could fill the host's memory with them.
TEST_CASE_METHOD(server_and_client, "request_with_framing_without_end_is_cut_off", "[http]")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string start;
    std::string repeated(4096, 'x');
    SECTION("in_the_size_of_a_chunk")
    {
        start = head + "1;";
    }
    SECTION("in_the_trailer")
    {
        start = head + "0\r\n";
        repeated = "A: b\r\n";
    }
    const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(socket, reinterpret_cast<sockaddr *>(&peer), sizeof(peer)) == 0);
    std::size_t sent = 0;
    auto open = ::send(socket, start.data(), start.size(), MSG_NOSIGNAL) > 0;
    constexpr std::size_t kernelBytes = std::size_t(16) * 1024 * 1024;
    while (open && sent < 2 * kernelBytes) {
        open = ::send(socket, repeated.data(), repeated.size(), MSG_NOSIGNAL) > 0;
        sent += repeated.size();
    }
    ::close(socket);
    CHECK_FALSE(open);
    CHECK(sent < kernelBytes);
}

TEST_CASE_METHOD(server_and_client, "body_over_the_limit_is_refused_as_not_run", "[http]")
{
    http_request request;
    request.body.assign(5000, 'x');
    const auto outcome = call(request);
    REQUIRE(outcome.failure == http_failure::None);
    CHECK(outcome.response.status == 413);
    CHECK(headerValue(outcome.response.headers, "Parsleyloft-Outcome") == "not_run");
}

// A connection that is closed with unread bytes is reset, and the reset may reach the caller before
// the response.
TEST_CASE_METHOD(server_and_client, "rest_of_a_refused_body_is_received_after_the_response",
                 "[http]")
{
    const auto socket = connectTo(address, monotonicNow() + 2s);
    REQUIRE(socket);
    // More than the kernel buffers.
    const std::string body(std::size_t(32) * 1024 * 1024, 'x');
    const auto bytes = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto until = monotonicNow() + 10s;
    CHECK(sendBytes(*socket, bytes, until, false) == send_end::Sent);
    const auto answer = readFinalAnswer(*socket, until);
    CHECK(answer.end == answer_end::Whole);
    CHECK(answer.status == 413);
    CHECK_FALSE(answer.keepsConnection);
    CHECK(receiveMore(*socket, until) == receive_end::Closed);
}

// What exceeds limits that hold only until others are set may be proper.
TEST_CASE_METHOD(server_and_client, "request_over_preliminary_limits_is_passed_on_as_incomplete",
                 "[http]")
{
    http_limits limits;
    limits.maxBodyBytes = 1024;
    limits.preliminary = true;
    setHttpLimits(*server, limits);
    std::atomic<bool> incomplete = false;
    handler = [&](const http_request &request, const http_responder &respond) {
        incomplete = request.incomplete;
        http_response response;
        response.status = 503;
        respond(std::move(response));
    };
    http_request request;
    request.body.assign(5000, 'x');
    CHECK(call(request).response.status == 503);
    CHECK(incomplete);
    request.body.assign(1000, 'x');
    CHECK(call(request).response.status == 503);
    CHECK_FALSE(incomplete);
    limits.preliminary = false;
    setHttpLimits(*server, limits);
    request.body.assign(5000, 'x');
    CHECK(call(request).response.status == 413);
}

TEST_CASE_METHOD(server_and_client, "port_in_use_is_reported_with_the_port_number", "[http]")
{
    const auto second = startHttpServer(*pool, address, {}, handler);
    REQUIRE_FALSE(second);
    CHECK(second.error().code == error_code::Unreachable);
    CHECK(second.error().detail.find(std::to_string(address.port)) != std::string::npos);
}

TEST_CASE_METHOD(server_and_client, "repeated_headers_keep_their_order", "[http]")
{
    std::vector<std::string> seen;
    handler = [&](const http_request &request, const http_responder &respond) {
        for (const auto &[name, value] : request.headers) {
            if (isSameHeader(name, "Accept"))
                seen.push_back(value);
        }
        respond({});
    };
    http_request request;
    addHeader(request.headers, "Accept", "b");
    addHeader(request.headers, "Accept", "a");
    CHECK(call(std::move(request)).failure == http_failure::None);
    CHECK(seen == std::vector<std::string>{"b", "a"});
}

TEST_CASE_METHOD(server_and_client, "cancelled_exchange_ends_at_once_and_the_server_is_notified",
                 "[http]")
{
    std::promise<void> disconnected;
    std::promise<void> arrived;
    std::vector<http_responder> responders;
    handler = [&](const http_request &request, const http_responder &respond) {
        responders.push_back(respond);
        onCallerDisconnect(request.caller, [&] {
            // The test returns on this value: nothing of it may be used afterwards.
            responders.front()({});
            disconnected.set_value();
        });
        arrived.set_value();
    };
    std::promise<http_outcome> promise;
    const auto exchange = sendHttp(client, address, {}, {10s, {}},
                                   [&](http_outcome outcome) { promise.set_value(outcome); });
    arrived.get_future().wait();
    cancelHttp(exchange);
    CHECK(promise.get_future().get().failure == http_failure::Cancelled);
    disconnected.get_future().wait();
}

// Guards against a caller's close that is missed: the watch of the connection ended when it was
// woken without data.
TEST_CASE_METHOD(server_and_client, "every_close_of_a_caller_is_noticed", "[http]")
{
    constexpr int rounds = 4000;
    auto missed = 0;
    for (int round = 0; round < rounds; ++round) {
        auto disconnected = std::make_shared<std::promise<void>>();
        auto arrived = std::make_shared<std::promise<void>>();
        handler = [=](const http_request &request, const http_responder &respond) {
            onCallerDisconnect(request.caller, [=] {
                respond({});
                disconnected->set_value();
            });
            arrived->set_value();
        };
        std::promise<void> ended;
        const auto exchange =
                sendHttp(client, address, {}, {10s, {}}, [&](const auto &) { ended.set_value(); });
        arrived->get_future().wait();
        cancelHttp(exchange);
        ended.get_future().wait();
        missed += disconnected->get_future().wait_for(2s) == std::future_status::ready ? 0 : 1;
    }
    CHECK(missed == 0);
}

TEST_CASE_METHOD(server_and_client, "idle_connection_is_reused_only_within_the_maximum_idle_age",
                 "[http]")
{
    CHECK_FALSE(call({}).reused);
    CHECK(call({}).reused);
    std::promise<http_outcome> promise;
    http_send_options options;
    options.maxIdleAge = 0us;
    sendHttp(client, address, {}, options,
             [&](http_outcome outcome) { promise.set_value(outcome); });
    CHECK_FALSE(promise.get_future().get().reused);
}

TEST_CASE_METHOD(server_and_client, "request_that_exceeds_the_send_delay_is_not_sent", "[http]")
{
    std::atomic<int> received = 0;
    handler = [&](const http_request &, const http_responder &respond) {
        ++received;
        respond({});
    };
    std::promise<http_outcome> promise;
    http_send_options options;
    options.maxSendDelay = -1ms;
    sendHttp(client, address, {}, options,
             [&](http_outcome outcome) { promise.set_value(outcome); });
    CHECK(promise.get_future().get().failure == http_failure::NotSent);
    CHECK(received == 0);
}

TEST_CASE_METHOD(server_and_client, "connect_without_an_answer_ends_within_the_connect_timeout",
                 "[http]")
{
    // A listener whose accept queue is full drops SYN packets.
    const auto listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&bound), sizeof(bound)) == 0);
    REQUIRE(::listen(listener, 0) == 0);
    socklen_t size = sizeof(bound);
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &size);
    address.port = ntohs(bound.sin_port);
    http_send_options options;
    options.timeout = 1h;
    options.connectTimeout = 100ms;
    std::vector<std::future<http_outcome>> outcomes;
    for (int index = 0; index < 6; ++index) {
        auto promise = std::make_shared<std::promise<http_outcome>>();
        outcomes.push_back(promise->get_future());
        const auto exchange =
                sendHttp(client, address, {}, options, [promise](http_outcome outcome) {
                    promise->set_value(std::move(outcome));
                });
        if (index < 3)
            std::this_thread::sleep_for(20ms);
    }
    CHECK(outcomes.back().get().failure == http_failure::NotSent);
    ::close(listener);
}

// Guards against requests and orders that arrive after their sender has given them up: an orderly
// close leaves the unsent bytes to the kernel, which goes on sending them.
TEST_CASE_METHOD(client_of_a_late_reader, "request_that_was_given_up_does_not_arrive_later",
                 "[http]")
{
    SECTION("at_its_timeout")
    {
        send(200ms);
        CHECK(ended.get_future().get().failure == http_failure::TimedOut);
    }
    SECTION("when_it_was_cancelled")
    {
        const auto exchange = send(10s);
        std::this_thread::sleep_for(50ms);
        cancelHttp(exchange);
        CHECK(ended.get_future().get().failure == http_failure::Cancelled);
    }
    CHECK_FALSE(receiveRequest());
}

TEST_CASE_METHOD(client_of_a_late_reader, "connection_of_an_answered_request_is_closed_in_order",
                 "[http]")
{
    send(10s);
    REQUIRE(receiveRequest());
    const std::string answer = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    REQUIRE(::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL) > 0);
    CHECK(ended.get_future().get().failure == http_failure::None);
    CHECK(receiveSome() == 0);
}

} // namespace parsleyloft
