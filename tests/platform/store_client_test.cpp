// The client of the key-value service against the platform stand-in, which can inject faults.
#include "lab/platform_stand_in.h"
#include "platform/store_client.h"
#include "transport/blocking_call.h"

#include <catch2/catch.hpp>

#include <future>

namespace parsleyloft {

namespace {

struct store_with_faults
{
    store_with_faults()
    {
        for (std::uint16_t port = 30200; port < 30300 && !platform; ++port) {
            store.address = {"127.0.0.1", port};
            platform = startPlatform(*pool, store.address, "");
        }
        REQUIRE(platform);
        store.http = makeHttpClient(*pool, 2);
    }

    ~store_with_faults() { stopWorkers(*pool); }

    auto read(const std::string &key) -> result<store_value>
    {
        std::promise<result<store_value>> promise;
        readKey(store, key,
                [&](result<store_value> response) { promise.set_value(std::move(response)); });
        return promise.get_future().get();
    }

    auto write(const std::string &key, const std::string &value, std::uint64_t index)
            -> result<void>
    {
        std::promise<result<void>> promise;
        writeKey(store, key, value, index,
                 [&](result<void> response) { promise.set_value(std::move(response)); });
        return promise.get_future().get();
    }

    auto setFaults(const std::string &faults) -> void { post("/test/faults", faults); }

    auto post(const std::string &target, const std::string &body) -> http_response
    {
        http_request request;
        request.method = "POST";
        request.target = target;
        request.body = body;
        return callAndWait(store.http, store.address, std::move(request), 2s).response;
    }

    std::unique_ptr<worker_pool> pool = startWorkers(2);
    result<platform_stand_in> platform = failure(error_code::Unreachable, "not started");
    store_client store;
};

} // namespace

TEST_CASE_METHOD(store_with_faults, "written_key_is_read_back", "[store]")
{
    CHECK(read("k")->index == 0);
    REQUIRE(write("k", std::string("a\0b", 3), 0));
    const auto stored = read("k");
    CHECK(stored->value == std::string("a\0b", 3));
    CHECK(stored->index > 0);
}

TEST_CASE_METHOD(store_with_faults, "write_with_old_index_returns_conflict", "[store]")
{
    REQUIRE(write("k", "first", 0));
    CHECK(write("k", "second", 0).error().code == error_code::Conflict);
    CHECK(write("k", "second", read("k")->index));
}

TEST_CASE_METHOD(store_with_faults, "write_with_lost_answer_is_unknown_and_takes_effect", "[store]")
{
    setFaults(R"({"lost_answers_permille": 1000})");
    CHECK(write("k", "value", 0).error().code == error_code::Unknown);
    CHECK(read("k")->value == "value");
}

TEST_CASE_METHOD(store_with_faults, "calls_to_store_that_is_down_fail", "[store]")
{
    setFaults(R"({"down": true})");
    CHECK_FALSE(read("k"));
    CHECK_FALSE(write("k", "value", 0));
    setFaults("{}");
    CHECK(read("k")->index == 0);
}

TEST_CASE_METHOD(store_with_faults, "calls_over_the_rate_limit_fail", "[store]")
{
    setFaults(R"({"writes_per_second": 1})");
    // At least two of the three writes fall into the same second.
    int failed = 0;
    for (const auto *key : {"a", "b", "c"})
        failed += write(key, "value", 0) ? 0 : 1;
    CHECK(failed > 0);
    setFaults("{}");
    CHECK(write("d", "value", 0));
}

TEST_CASE_METHOD(store_with_faults, "watch_ends_when_the_key_changes", "[store]")
{
    REQUIRE(write("k", "first", 0));
    const auto index = read("k")->index;
    std::promise<http_outcome> watched;
    http_request request;
    request.target = "/v1/kv/k?index=" + std::to_string(index);
    sendHttp(store.http, store.address, request, {10s, {}},
             [&](http_outcome outcome) { watched.set_value(std::move(outcome)); });
    REQUIRE(write("k", "second", index));
    const auto outcome = watched.get_future().get();
    CHECK(outcome.response.status == 200);
}

TEST_CASE_METHOD(store_with_faults, "key_locked_by_one_session_is_refused_to_another", "[store]")
{
    CHECK(post("/v1/session/create", "").body == R"({"ID":"session-1"})");
    post("/v1/session/create", "");
    http_request request;
    request.method = "PUT";
    request.target = "/v1/kv/lock?acquire=session-1";
    CHECK(callAndWait(store.http, store.address, request, 2s).response.body == "true");
    request.target = "/v1/kv/lock?acquire=session-2";
    CHECK(callAndWait(store.http, store.address, request, 2s).response.body == "false");
}

} // namespace parsleyloft
