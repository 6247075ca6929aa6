// The stand-in for the metadata store when it returns from an older copy of itself.
#include "lab/store_stand_in.h"

#include "transport/blocking_call.h"

#include <catch2/catch.hpp>

#include <future>
#include <thread>

namespace parsleyloft {

namespace {

struct store_with_copy
{
    store_with_copy()
    {
        for (std::uint16_t port = 30500; port < 30600 && !store; ++port) {
            address = {"127.0.0.1", port};
            store = startStore(*pool, address);
        }
        REQUIRE(store);
        putItem(*store, "op/first", "1");
        keptLease = openLease();
        copy = copyStore(*store);
        putItem(*store, "op/first", "2");
        putItem(*store, "op/second", "1");
        lostLease = openLease();
    }

    ~store_with_copy() { stopWorkers(*pool); }

    auto call(const std::string &method, const std::string &target, const std::string &body = {})
            -> http_outcome
    {
        http_request request;
        request.method = method;
        request.target = target;
        request.body = body;
        return callAndWait(client, address, std::move(request), 5s);
    }

    auto statusOf(const std::string &method, const std::string &target) -> unsigned
    {
        return call(method, target).response.status;
    }

    auto openLease() -> std::string
    {
        const auto body = call("POST", "/kv-lease", R"({"ttl_ms":3000})").response.body;
        const auto number = body.substr(body.find("\"lease_id\":") + 11);
        return number.substr(0, number.find_first_of(",}"));
    }

    // The revision of an item, as the store states it.
    auto revisionOf(const std::string &key) -> std::string
    {
        const auto body = call("GET", "/kv-key?key=" + key).response.body;
        const auto number = body.substr(body.find("\"revision\":") + 11);
        return number.substr(0, number.find_first_of(",}"));
    }

    auto era() -> int
    {
        return std::stoi(
                headerValue(call("GET", "/kv-key?key=op/none").response.headers, "Store-Era"));
    }

    std::unique_ptr<worker_pool> pool = startWorkers(2);
    http_client client = makeHttpClient(*pool, 2);
    endpoint address;
    result<store_stand_in> store = failure(error_code::Unreachable, "not started");
    store_copy copy;
    std::string keptLease;
    std::string lostLease;
};

} // namespace

TEST_CASE_METHOD(store_with_copy, "restored_store_has_the_items_of_the_copy_in_the_next_era",
                 "[store_stand_in]")
{
    const auto eraBefore = era();
    CHECK(eraBefore > 0);
    restoreStore(*store, copy);
    CHECK(findItem(*store, "op/first") == "1");
    CHECK_FALSE(findItem(*store, "op/second"));
    CHECK(era() == eraBefore + 1);
    restoreStore(*store, copy);
    CHECK(era() == eraBefore + 2);
}

TEST_CASE_METHOD(store_with_copy, "restored_store_gives_revisions_and_leases_out_again",
                 "[store_stand_in]")
{
    const auto revision = revisionOf("op/second");
    restoreStore(*store, copy);
    putItem(*store, "op/third", "1");
    putItem(*store, "op/fourth", "1");
    CHECK(revisionOf("op/fourth") == revision);
    CHECK(statusOf("POST", "/kv-keep/" + lostLease) == 404);
    CHECK(statusOf("POST", "/kv-keep/" + keptLease) == 200);
    CHECK(openLease() == lostLease);
}

TEST_CASE_METHOD(store_with_copy, "watches_of_a_restored_store_start_from_its_own_revisions_only",
                 "[store_stand_in]")
{
    const auto watch = "/kv-watch?prefix=op/&wait_ms=3000&after=";
    const auto copied = [&] {
        restoreStore(*store, copy);
        return revisionOf("op/first");
    };
    putItem(*store, "op/third", "1");
    const auto lost = revisionOf("op/third");
    auto waiting = std::async(std::launch::async, [&] { return call("GET", watch + lost); });
    while (countCalls(*store, "/kv-watch") == 0)
        std::this_thread::sleep_for(1ms);
    const auto first = copied();
    CHECK(waiting.get().failure != http_failure::None);
    CHECK(statusOf("GET", watch + lost) == 410);
    CHECK(statusOf("GET", watch + std::to_string(std::stoi(first) - 1)) == 410);
    putItem(*store, "op/fourth", "1");
    const auto events = call("GET", watch + first).response.body;
    CHECK(events.find("op/fourth") != std::string::npos);
    CHECK(events.find("op/third") == std::string::npos);
}

} // namespace parsleyloft
