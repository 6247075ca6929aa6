// The client of the metadata store, and key orders, against stand-ins that can inject faults.
#include "lab/keyed_server_stand_in.h"
#include "platform/server_messages.h"
#include "platform/site_store.h"
#include "support/raw_server.h"

#include <catch2/catch.hpp>

#include <future>
#include <map>
#include <mutex>
#include <set>

namespace parsleyloft {

namespace {

// Allows every order to be sent.
auto always() -> bool
{
    return true;
}

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

    auto change(const store_change &requested) -> result<store_position>
    {
        return await<store_position>([&](auto done) { changeItems(client, requested, done); });
    }

    auto openLeaseFor(duration length) -> result<store_lease>
    {
        return await<store_lease>([&](auto done) { openLease(client, length, done); });
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
    CHECK(item->position == *revision);
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
    CHECK(items->position.revision > 0);
}

TEST_CASE_METHOD(store_and_client, "watch_returns_changes_after_a_revision", "[site_store]")
{
    const auto revision = list("a/")->position.revision;
    putItem(*store, "a/k", "1");
    putItem(*store, "b/k", "2");
    putItem(*store, "a/k", "");
    const auto events = watch("a/", revision, 5s);
    REQUIRE(events);
    REQUIRE(events->items.size() == 2);
    CHECK(events->items[0].value == "1");
    CHECK(events->items[1].deleted);
    CHECK(watch("a/", events->position.revision, 100ms)->items.empty());
}

TEST_CASE_METHOD(store_and_client, "watch_after_lost_history_fails_with_history_lost",
                 "[site_store]")
{
    const auto revision = list("a/")->position.revision;
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
    REQUIRE(change({{}, {{"a/k", "1", lease->id}}, {}}));
    CHECK(keepAlive(lease->id));
    const auto revision = list("a/")->position.revision;
    setStoreFaults(*store, {.expireLeases = true});
    const auto events = watch("a/", revision, 5s);
    REQUIRE(events);
    REQUIRE(events->items.size() == 1);
    CHECK(events->items[0].deleted);
    CHECK(keepAlive(lease->id).error().code == error_code::NotFound);
    CHECK(change({{}, {{"a/k", "1", lease->id}}, {}}).error().code == error_code::NotFound);
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
        sendKeyOrder(client.http, order, 2s, always,
                     [&](order_result result, const std::string &handover) {
                         promise.set_value({result, handover});
                     });
        return promise.get_future().get();
    };
    CHECK(send("i-1", order_kind::Grant).first == order_result::OtherServer);
    CHECK(send("i-1", order_kind::Release).first == order_result::OtherServer);
    CHECK(countHeldKeys(*server) == 0);
    CHECK(send("i-2", order_kind::Grant).first == order_result::Done);
    CHECK(countHeldKeys(*server) == 4096);
    const auto released = send("i-2", order_kind::Release);
    CHECK(released.first == order_result::Done);
    CHECK(released.second == "handover-of-i-2");
    CHECK(countHeldKeys(*server) == 0);
}

// Guards against a second holder: the late second copy of the answer to a grant came where the
// answer to a release was expected, before the server had ended its work on the keys.
TEST_CASE_METHOD(store_and_client, "second_copy_of_a_grants_answer_does_not_confirm_a_release",
                 "[key_orders]")
{
    const auto answersRelease = GENERATE(false, true);
    std::mutex lock;
    std::map<int, std::string> lastAnswers;
    raw_server raw([&](raw_connection &connection) {
        const auto isRelease = connection.request.starts_with("POST /release");
        const std::string own =
                "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n";
        const std::lock_guard guard(lock);
        auto &last = lastAnswers[connection.number];
        if (isRelease && !sendAll(connection, last))
            return false;
        last = own + "\r\n";
        if (!isRelease)
            return sendAll(connection, last);
        return !answersRelease || sendAll(connection, own + "X-Handover: token\r\n\r\n");
    });
    const auto send = [&](order_kind kind) {
        std::promise<std::pair<order_result, std::string>> promise;
        const key_order order{kind, {"i-1", 1000, raw.address}, 0, 4095, 12, 4s, {}};
        sendKeyOrder(client.http, order, 500ms, always,
                     [&](order_result result, const std::string &handover) {
                         promise.set_value({result, handover});
                     });
        return promise.get_future().get();
    };
    CHECK(send(order_kind::Grant).first == order_result::Done);
    const auto [result, handover] = send(order_kind::Release);
    CHECK(result == (answersRelease ? order_result::Done : order_result::Unanswered));
    CHECK(handover == (answersRelease ? "token" : ""));
}

// Guards against a second holder: the status 421 alone counts as the word of another server at the
// holder's address, also where the holder itself has answered.
TEST_CASE_METHOD(store_and_client, "release_refused_by_the_holder_itself_does_not_end_its_hold",
                 "[key_orders]")
{
    raw_server raw([&](raw_connection &connection) {
        return sendAll(connection,
                       "HTTP/1.1 421 Other\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n");
    });
    std::promise<order_result> promise;
    const key_order order{order_kind::Release, {"i-1", 1000, raw.address}, 0, 4095, 12, 4s, {}};
    sendKeyOrder(client.http, order, 500ms, always,
                 [&](order_result result, const std::string &) { promise.set_value(result); });
    CHECK(promise.get_future().get() != order_result::OtherServer);
}

// Guards against a grant that counts as confirmed although the server has not taken it: the second
// copy of an earlier grant's answer comes where its own is due. Known to fail (KNOWN-RED.txt), so
// CTest runs it by its name.
TEST_CASE_METHOD(store_and_client, "second_copy_of_a_grants_answer_does_not_confirm_the_next_grant",
                 "[.][key_orders]")
{
    std::mutex lock;
    std::set<int> answered;
    raw_server raw([&](raw_connection &connection) {
        const std::lock_guard guard(lock);
        // The first grant is answered. The second gets the copy, on the first one's connection.
        if (!answered.empty() && !answered.contains(connection.number))
            return true;
        answered.insert(connection.number);
        return sendAll(connection,
                       "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n");
    });
    const auto send = [&] {
        std::promise<order_result> promise;
        const key_order order{order_kind::Grant, {"i-1", 1000, raw.address}, 0, 4095, 12, 4s, {}};
        sendKeyOrder(client.http, order, 500ms, always,
                     [&](order_result result, const std::string &) { promise.set_value(result); });
        return promise.get_future().get();
    };
    CHECK(send() == order_result::Done);
    CHECK(send() == order_result::Unanswered);
}

// Guards against an order that is written after the leadership has ended during the connect.
TEST_CASE_METHOD(store_and_client, "order_is_checked_after_the_connect_and_then_not_written",
                 "[key_orders]")
{
    std::atomic<int> received = 0;
    raw_server raw([&](raw_connection &connection) {
        ++received;
        return sendAll(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    const auto leadsUntilConnected = [&] {
        for (int tries = 0; tries < 1000 && raw.connections == 0; ++tries)
            std::this_thread::sleep_for(1ms);
        return raw.connections == 0;
    };
    const auto kind = GENERATE(order_kind::Grant, order_kind::Release);
    const key_order order{kind, {"i-1", 1000, raw.address}, 0, 4095, 12, 4s, {}};
    std::promise<order_result> promise;
    sendKeyOrder(client.http, order, 3s, leadsUntilConnected,
                 [&](order_result result, const std::string &) { promise.set_value(result); });
    CHECK(promise.get_future().get() == order_result::NotSent);
    CHECK(received == 0);
}

// Guards against a leader that runs out of memory because servers answer grants with bytes without
// end.
TEST_CASE_METHOD(store_and_client, "order_answered_with_bytes_without_end_is_cut_off",
                 "[key_orders]")
{
    std::atomic<std::size_t> sent = 0;
    std::atomic<bool> closed = false;
    raw_server raw([&](raw_connection &connection) {
        const std::string filler(std::size_t(64) * 1024, 'x');
        auto open = sendAll(connection, "HTTP/1.1 200 OK\r\n\r\n");
        for (; open && !raw.stopping; sent += filler.size())
            open = sendAll(connection, filler);
        closed = !open;
        return false;
    });
    std::promise<order_result> promise;
    const key_order order{order_kind::Grant, {"i-1", 1000, raw.address}, 0, 4095, 12, 4s, {}};
    sendKeyOrder(client.http, order, 3s, always,
                 [&](order_result result, const std::string &) { promise.set_value(result); });
    CHECK(promise.get_future().get() == order_result::Unanswered);
    for (int tries = 0; tries < 1000 && !closed; ++tries)
        std::this_thread::sleep_for(1ms);
    CHECK(closed);
    // The kernel's buffers hold some megabytes.
    CHECK(sent < std::size_t(16) * 1024 * 1024);
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
        CHECK(page->position.revision == 9);
    }
    SECTION("in_a_watch")
    {
        body = R"({"events":[{"key":"op/x","revision":[]},{"key":"op/y","deleted":true,)"
               R"("revision":12}],"at":12})";
        const auto events = watch("op/", 1, 100ms);
        REQUIRE(events);
        REQUIRE(events->items.size() == 2);
        CHECK(events->items[0].position.revision == 0);
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

namespace {

// A store whose answers, with their headers, are given by the test.
struct scripted_store : store_and_client
{
    scripted_store()
    {
        client.address = raw.address;
        client.eras->onNewer = [this](store_era previous, store_era era) {
            seen.emplace_back(previous, era);
        };
    }

    ~scripted_store() { client.http = {}; }

    auto answer(const std::string &status, const std::string &headers, const std::string &body)
            -> void
    {
        next = "HTTP/1.1 " + status + "\r\n" + headers
                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    auto answerItem(const std::string &headers) -> void
    {
        answer("200 OK", headers, R"({"key":"a/k","value":"YQ==","revision":12})");
    }

    std::string next;
    // The test may prepare the next answer once this one has been received, so a copy is sent.
    raw_server raw{[this](raw_connection &connection) {
        const auto bytes = next;
        return sendAll(connection, bytes);
    }};
    std::vector<std::pair<store_era, store_era>> seen;
};

} // namespace

TEST_CASE_METHOD(scripted_store, "item_has_the_era_of_its_answer", "[site_store]")
{
    answerItem("Store-Era: 3\r\n");
    CHECK(read("a/k")->position == store_position{3, 12});
    CHECK(currentEra(client) == 3);
}

TEST_CASE_METHOD(scripted_store, "answer_without_readable_era_is_of_the_newest_one_seen",
                 "[site_store]")
{
    answerItem("");
    CHECK(read("a/k")->position == store_position{0, 12});
    recordEra(client, 2);
    answerItem("");
    CHECK(read("a/k")->position == store_position{2, 12});
    answerItem("Store-Era: 9x\r\n");
    CHECK(read("a/k")->position == store_position{2, 12});
    answerItem("Store-Era: 99999999999999999999999\r\n");
    CHECK(read("a/k")->position == store_position{2, 12});
}

TEST_CASE_METHOD(scripted_store, "newer_era_is_reported_once_also_by_an_error", "[site_store]")
{
    answerItem("Store-Era: 1\r\n");
    CHECK(read("a/k"));
    answer("410 Gone", "Store-Era: 2\r\n", "");
    CHECK(watch("a/", 12, 100ms).error().code == error_code::HistoryLost);
    answerItem("Store-Era: 2\r\n");
    CHECK(read("a/k"));
    CHECK(seen == std::vector<std::pair<store_era, store_era>>{{0, 1}, {1, 2}});
}

// An answer that was sent before the store came back from a copy states what may be lost since.
TEST_CASE_METHOD(scripted_store, "answer_of_an_older_era_is_not_applied", "[site_store]")
{
    recordEra(client, 3);
    answerItem("Store-Era: 2\r\n");
    CHECK(read("a/k").error().code == error_code::Unknown);
    answer("200 OK", "Store-Era: 2\r\n", R"({"revision":13})");
    CHECK(change({{}, {{"a/k", "1", 0}}, {}}).error().code == error_code::Unknown);
    answer("404 Not Found", "Store-Era: 2\r\n", "");
    CHECK(keepAlive(7).error().code == error_code::Unknown);
    CHECK(currentEra(client) == 3);
}

// The pages of two eras do not form one state: keys between them may be missing.
TEST_CASE_METHOD(store_and_client, "listing_across_a_change_of_era_starts_again", "[site_store]")
{
    std::vector<std::string> targets;
    raw_server raw([&](raw_connection &connection) {
        targets.push_back(connection.request.substr(0, connection.request.find("\r\n")));
        const auto first = targets.size() == 1;
        const std::string body = targets.size() == 2
                ? R"({"items":[{"key":"a/z","value":"","revision":4}],"more":false,"at":9})"
                : R"({"items":[{"key":"a/k","value":"","revision":3}],"more":)"
                        + std::string(first ? "true" : "false") + R"(,"at":8})";
        return sendAll(connection,
                       "HTTP/1.1 200 OK\r\nStore-Era: " + std::string(first ? "1" : "2")
                               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                               + body);
    });
    client.address = raw.address;
    const auto found = list("a/");
    REQUIRE(found);
    CHECK(targets.size() == 3);
    REQUIRE(found->items.size() == 1);
    CHECK(found->items[0].key == "a/k");
    CHECK(found->position == store_position{2, 8});
    client.http = {};
}

} // namespace parsleyloft
