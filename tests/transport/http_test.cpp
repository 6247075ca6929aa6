// HTTP server and client against each other: whole answers, or none.
#include "transport/blocking_call.h"
#include "transport/http_server.h"

#include <catch2/catch.hpp>

#include <future>

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
                    [this](const http_request &request, const http_respond &respond) {
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
    http_handler answer = [](const http_request &request, const http_respond &respond) {
        http_response response;
        response.headers["Request-Id"] = headerOf(request.headers, "Request-Id");
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
    answer = [](const http_request &, const http_respond &respond) {
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
    answer = [](const http_request &, const http_respond &respond) {
        http_response response;
        response.body = "0123456789";
        response.cutAfter = 5;
        respond(std::move(response));
    };
    CHECK(call({}).failure == http_failure::Lost);
}

TEST_CASE_METHOD(server_and_client, "connection_closed_without_answer_is_lost", "[http]")
{
    answer = [](const http_request &, const http_respond &respond) {
        http_response response;
        response.status = 0;
        response.cutAfter = 0;
        respond(std::move(response));
    };
    CHECK(call({}).failure == http_failure::Lost);
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
    CHECK(headerOf(ended.response.headers, "Parsleyloft-Outcome") == "not_run");
}

TEST_CASE_METHOD(server_and_client, "port_in_use_is_a_clear_error", "[http]")
{
    const auto second = startHttpServer(*pool, at, {}, answer);
    REQUIRE_FALSE(second);
    CHECK(second.error().code == error_code::Unreachable);
    CHECK(second.error().detail.find(std::to_string(at.port)) != std::string::npos);
}

} // namespace parsleyloft
