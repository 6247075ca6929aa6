// HTTP server and client against each other: whole answers, or none.
#include "transport/blocking_call.h"
#include "transport/http_server.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace parsleyloft {

namespace {

struct server_and_client
{
    server_and_client()
    {
        for (std::uint16_t port = 30100; port < 30200 && !server; ++port) {
            at = {"127.0.0.1", port};
            server = startHttpServer(
                    *pool, at, {1024, 0us},
                    [this](const http_request &request, const http_responder &respond) {
                        answer(request, respond);
                    });
        }
        REQUIRE(server);
    }

    ~server_and_client() { stopWorkers(*pool); }

    auto call(http_request request, const std::string &match = {}) -> http_outcome
    {
        request.method = "POST";
        auto promise = std::make_shared<std::promise<http_outcome>>();
        sendHttp(client, at, std::move(request), {2s, match},
                 [promise](http_outcome ended) { promise->set_value(std::move(ended)); });
        return promise->get_future().get();
    }

    std::unique_ptr<worker_pool> pool = startWorkers(2);
    endpoint at;
    http_handler answer = [](const http_request &request, const http_responder &respond) {
        http_response response;
        response.headers["Request-Id"] = headerValue(request.headers, "Request-Id");
        response.body = request.body;
        respond(std::move(response));
    };
    result<http_server> server = failure(error_code::Unreachable, "not started");
    http_client client = makeHttpClient(*pool, 4);
};

} // namespace

TEST_CASE_METHOD(server_and_client, "request_gets_its_own_answer", "[http]")
{
    http_request request;
    request.headers["Request-Id"] = "r1";
    request.body = "hello";
    const auto ended = call(request, "Request-Id");
    CHECK(ended.failure == http_failure::None);
    CHECK(ended.response.body == "hello");
}

TEST_CASE_METHOD(server_and_client, "answer_with_another_id_is_a_mismatch", "[http]")
{
    answer = [](const http_request &, const http_responder &respond) {
        http_response response;
        response.headers["Request-Id"] = "other";
        respond(std::move(response));
    };
    http_request request;
    request.headers["Request-Id"] = "r1";
    CHECK(call(request, "Request-Id").failure == http_failure::Mismatch);
}

TEST_CASE_METHOD(server_and_client, "answer_with_a_short_body_is_lost", "[http]")
{
    answer = [](const http_request &, const http_responder &respond) {
        http_response response;
        response.body = "0123456789";
        response.truncateAfterBytes = 5;
        respond(std::move(response));
    };
    CHECK(call({}).failure == http_failure::ResponseLost);
}

TEST_CASE_METHOD(server_and_client, "connection_closed_without_answer_is_lost", "[http]")
{
    answer = [](const http_request &, const http_responder &respond) {
        http_response response;
        response.status = 0;
        response.truncateAfterBytes = 0;
        respond(std::move(response));
    };
    CHECK(call({}).failure == http_failure::ResponseLost);
}

TEST_CASE_METHOD(server_and_client, "address_without_listener_is_not_sent", "[http]")
{
    at.port = 1;
    const auto ended = call({});
    CHECK(ended.failure == http_failure::NotSent);
    CHECK(ended.response.status == 0);
}

TEST_CASE_METHOD(server_and_client, "body_over_the_limit_is_refused_as_not_run", "[http]")
{
    http_request request;
    request.body.assign(5000, 'x');
    const auto ended = call(request);
    REQUIRE(ended.failure == http_failure::None);
    CHECK(ended.response.status == 413);
    CHECK(headerValue(ended.response.headers, "Parsleyloft-Outcome") == "not_run");
}

TEST_CASE_METHOD(server_and_client, "port_in_use_is_a_clear_error", "[http]")
{
    const auto second = startHttpServer(*pool, at, {}, answer);
    REQUIRE_FALSE(second);
    CHECK(second.error().code == error_code::Unreachable);
    CHECK(second.error().detail.find(std::to_string(at.port)) != std::string::npos);
}

TEST_CASE_METHOD(server_and_client, "repeated_headers_arrive_in_their_order", "[http]")
{
    std::vector<std::string> seen;
    answer = [&](const http_request &request, const http_responder &respond) {
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

TEST_CASE_METHOD(server_and_client, "exchange_that_is_cancelled_ends_at_once_and_the_server_hears",
                 "[http]")
{
    std::promise<void> gone;
    std::promise<void> arrived;
    std::vector<http_responder> kept;
    answer = [&](const http_request &request, const http_responder &respond) {
        kept.push_back(respond);
        onCallerDisconnect(request.caller, [&] {
            gone.set_value();
            kept.front()({});
        });
        arrived.set_value();
    };
    std::promise<http_outcome> promise;
    const auto exchange = sendHttp(client, at, {}, {10s, {}},
                                   [&](http_outcome ended) { promise.set_value(ended); });
    arrived.get_future().wait();
    cancelHttp(exchange);
    CHECK(promise.get_future().get().failure == http_failure::Cancelled);
    gone.get_future().wait();
}

TEST_CASE_METHOD(server_and_client, "connection_is_used_again_only_while_it_is_fresh_enough",
                 "[http]")
{
    CHECK_FALSE(call({}).reused);
    CHECK(call({}).reused);
    std::promise<http_outcome> promise;
    http_send_options options;
    options.maxIdleAge = 0us;
    sendHttp(client, at, {}, options, [&](http_outcome ended) { promise.set_value(ended); });
    CHECK_FALSE(promise.get_future().get().reused);
}

TEST_CASE_METHOD(server_and_client, "request_that_comes_up_too_late_is_not_sent", "[http]")
{
    std::atomic<int> received = 0;
    answer = [&](const http_request &, const http_responder &respond) {
        ++received;
        respond({});
    };
    std::promise<http_outcome> promise;
    http_send_options options;
    options.maxSendDelay = -1ms;
    sendHttp(client, at, {}, options, [&](http_outcome ended) { promise.set_value(ended); });
    CHECK(promise.get_future().get().failure == http_failure::NotSent);
    CHECK(received == 0);
}

TEST_CASE_METHOD(server_and_client, "connect_that_is_never_answered_ends_within_its_own_limit",
                 "[http]")
{
    // A listener whose queue is full drops the opening packets.
    const auto listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    REQUIRE(::listen(listener, 0) == 0);
    socklen_t size = sizeof(address);
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    at.port = ntohs(address.sin_port);
    http_send_options options;
    options.timeout = 1h;
    options.connectTimeout = 100ms;
    std::vector<std::future<http_outcome>> ends;
    for (int index = 0; index < 6; ++index) {
        auto promise = std::make_shared<std::promise<http_outcome>>();
        ends.push_back(promise->get_future());
        const auto exchange = sendHttp(client, at, {}, options, [promise](http_outcome ended) {
            promise->set_value(std::move(ended));
        });
        if (index < 3)
            std::this_thread::sleep_for(20ms);
    }
    CHECK(ends.back().get().failure == http_failure::NotSent);
    ::close(listener);
}

} // namespace parsleyloft
