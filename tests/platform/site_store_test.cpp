// The client of the metadata store, and key orders, against stand-ins that can inject faults.
#include "lab/keyed_server_stand_in.h"
#include "platform/server_messages.h"
#include "platform/site_store.h"
#include "support/raw_server.h"

#include <catch2/catch.hpp>

#include <future>

namespace parsleyloft {

namespace {

struct store_and_client
{
    store_and_client()
    {
        for (std::uint16_t port = 30300; port < 30400 && !store; ++port) {
            client.address = {"127.0.0.1", port};
            store = startStore(*pool, client.address);
        }
        REQUIRE(store);
        client.http = makeHttpClient(*pool, 2);
    }

    ~store_and_client() { stopWorkers(*pool); }

    template<typename value, typename call>
    auto await(call start) -> result<value>
    {
        std::promise<result<value>> promise;
        start([&](result<value> response) { promise.set_value(std::move(response)); });
        return promise.get_future().get();
    }

    auto read(const std::string &key) -> result<store_item>
    {
        return await<store_item>([&](auto done) { readItem(client, key, done); });
    }

    auto list(const std::string &prefix) -> result<store_items>
    {
        return await<store_items>([&](auto done) { listItems(client, prefix, done); });
    }

    auto watch(const std::string &prefix, store_revision after, duration wait)
            -> result<store_items>
    {
        return await<store_items>(
                [&](auto done) { watchItems(client, prefix, after, wait, done); });
    }

    auto change(const store_change &requested) -> result<store_revision>
    {
        return await<store_revision>([&](auto done) { changeItems(client, requested, done); });
    }

    auto openLeaseFor(duration length) -> result<lease_id>
    {
        return await<lease_id>([&](auto done) { openLease(client, length, done); });
    }

    auto keepAlive(lease_id lease) -> result<void>
    {
        return await<void>([&](auto done) { keepLeaseAlive(client, lease, done); });
    }

    std::unique_ptr<worker_pool> pool = startWorkers(2);
    result<store_stand_in> store = failure(error_code::Unreachable, "not started");
    site_store client;
};

} // namespace

TEST_CASE_METHOD(store_and_client, "written_item_is_read_back_with_its_revision", "[site_store]")
{
    CHECK(read("a/k").error().code == error_code::NotFound);
    const std::string value("a\0b\xff", 4);
    const auto revision = change({{{"a/k", 0}}, {{"a/k", value, 0}}, {}});
    REQUIRE(revision);
    const auto item = read("a/k");
    REQUIRE(item);
    CHECK(item->value == value);
    CHECK(item->revision == *revision);
}

TEST_CASE_METHOD(store_and_client, "change_with_failed_expectation_returns_conflict",
                 "[site_store]")
{
    putItem(*store, "a/k", "1");
    CHECK(change({{{"a/k", 0}}, {{"a/k", "2", 0}}, {}}).error().code == error_code::Conflict);
    CHECK(findItem(*store, "a/k") == "1");
}

TEST_CASE_METHOD(store_and_client, "range_of_many_pages_is_read_completely", "[site_store]")
{
    for (int index = 0; index < 1203; ++index)
        putItem(*store, "many/" + std::to_string(100000 + index), "v");
    const auto items = list("many/");
    REQUIRE(items);
    CHECK(items->items.size() == 1203);
    CHECK(items->revision > 0);
}

TEST_CASE_METHOD(store_and_client, "watch_returns_changes_after_a_revision", "[site_store]")
{
    const auto revision = list("a/")->revision;
    putItem(*store, "a/k", "1");
    putItem(*store, "b/k", "2");
    putItem(*store, "a/k", "");
    const auto events = watch("a/", revision, 5s);
    REQUIRE(events);
    REQUIRE(events->items.size() == 2);
    CHECK(events->items[0].value == "1");
    CHECK(events->items[1].deleted);
    CHECK(watch("a/", events->revision, 100ms)->items.empty());
}

TEST_CASE_METHOD(store_and_client, "watch_after_lost_history_fails_with_history_lost",
                 "[site_store]")
{
    const auto revision = list("a/")->revision;
    compactHistory(*store);
    CHECK(watch("a/", revision, 1s).error().code == error_code::HistoryLost);
}

TEST_CASE_METHOD(store_and_client, "change_at_busy_store_is_rejected_without_effect",
                 "[site_store]")
{
    setStoreFaults(*store, {.unavailable = true});
    CHECK(change({{}, {{"a/k", "1", 0}}, {}}).error().code == error_code::Rejected);
    CHECK_FALSE(findItem(*store, "a/k"));
}

TEST_CASE_METHOD(store_and_client, "change_with_lost_answer_is_unknown_and_may_take_effect",
                 "[site_store]")
{
    setStoreFaults(*store, {.dropResponses = true});
    CHECK(change({{}, {{"a/k", "1", 0}}, {}}).error().code == error_code::Unknown);
    CHECK(findItem(*store, "a/k") == "1");
}

TEST_CASE_METHOD(store_and_client, "store_without_listener_is_unreachable", "[site_store]")
{
    client.address.port = 1;
    CHECK(read("a/k").error().code == error_code::Unreachable);
}

TEST_CASE_METHOD(store_and_client, "keys_of_a_lease_are_deleted_when_it_ends", "[site_store]")
{
    const auto lease = openLeaseFor(10s);
    REQUIRE(lease);
    REQUIRE(change({{}, {{"a/k", "1", *lease}}, {}}));
    CHECK(keepAlive(*lease));
    const auto revision = list("a/")->revision;
    setStoreFaults(*store, {.expireLeases = true});
    const auto events = watch("a/", revision, 5s);
    REQUIRE(events);
    REQUIRE(events->items.size() == 1);
    CHECK(events->items[0].deleted);
    CHECK(keepAlive(*lease).error().code == error_code::NotFound);
    CHECK(change({{}, {{"a/k", "1", *lease}}, {}}).error().code == error_code::NotFound);
}

TEST_CASE_METHOD(store_and_client,
                 "order_for_previous_server_is_refused_by_new_server_at_same_address",
                 "[key_orders]")
{
    result<keyed_server_stand_in> server = failure(error_code::Unreachable, "not started");
    endpoint address{"127.0.0.1", 30400};
    for (; address.port < 30500 && !server; ++address.port)
        server = startKeyedServer(*pool, *store, address, {"i-2", "ledger", "a", 3, true, 2000});
    REQUIRE(server);
    --address.port;
    const auto send = [&](const server_id &id, order_kind kind) {
        std::promise<std::pair<order_result, std::string>> promise;
        const key_order order{kind, {id, 1000, address}, 0, 4095, 12, 4s, {}};
        sendKeyOrder(client.http, order, 2s, [&](order_result result, const std::string &handover) {
            promise.set_value({result, handover});
        });
        return promise.get_future().get();
    };
    CHECK(send("i-1", order_kind::Grant).first == order_result::Refused);
    CHECK(countHeldKeys(*server) == 0);
    CHECK(send("i-2", order_kind::Grant).first == order_result::Done);
    CHECK(countHeldKeys(*server) == 4096);
    const auto released = send("i-2", order_kind::Release);
    CHECK(released.first == order_result::Done);
    CHECK(released.second == "handover-of-i-2");
    CHECK(countHeldKeys(*server) == 0);
}

// An odd item must not end the following of all others.
TEST_CASE_METHOD(store_and_client, "malformed_item_of_an_answer_affects_that_item_only", "[store]")
{
    std::string body;
    raw_server raw([&](raw_connection &connection) {
        return sendAll(connection,
                       "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                               + "\r\n\r\n" + body);
    });
    client.address = raw.address;
    SECTION("in_a_page")
    {
        body = R"({"items":[{"key":"servers/a","value":"YQ==","revision":3},)"
               R"({"value":"YQ==","revision":3},17,{"key":"servers/b","value":"%%","revision":4},)"
               R"({"key":"servers/c","value":"Yw==","revision":"5"}],"more":false,"at":9})";
        const auto page = list("servers/");
        REQUIRE(page);
        REQUIRE(page->items.size() == 3);
        CHECK(page->items[0].value == "a");
        CHECK(page->items[1].value.empty());
        CHECK(page->items[2].value == "c");
        CHECK(page->revision == 9);
    }
    SECTION("in_a_watch")
    {
        body = R"({"events":[{"key":"op/x","revision":[]},{"key":"op/y","deleted":true,)"
               R"("revision":12}],"at":12})";
        const auto events = watch("op/", 1, 100ms);
        REQUIRE(events);
        REQUIRE(events->items.size() == 2);
        CHECK(events->items[0].revision == 0);
        CHECK(events->items[1].deleted);
    }
    SECTION("in_pages_without_end")
    {
        body = R"({"items":[{"key":"servers/a","value":"YQ==","revision":3}],"more":true,"at":9})";
        const auto page = list("servers/");
        REQUIRE(page);
        CHECK(page->items.size() == 2);
    }
    SECTION("unless_the_answer_is_no_json")
    {
        body = "{\"items\":[";
        CHECK_FALSE(list("servers/"));
    }
    client.http = {};
}

} // namespace parsleyloft
