// Changes of the configuration by operators at one host of `parsleyloft serve`, before a key-value
// service that answers byte by byte.
#include "codec/configuration_codec.h"
#include "codec/json.h"
#include "daemon/operators.h"
#include "support/host_in_process.h"

#include <catch2/catch.hpp>

#include <future>

namespace parsleyloft {

namespace {

// Stores the first write and loses its answer. By the next read, another operator has written too.
struct store_that_loses_an_answer
{
    auto answer(raw_connection &connection) -> bool
    {
        if (connection.request.starts_with("PUT ")) {
            stored = true;
            resetRaw(connection);
            return false;
        }
        if (!stored)
            return sendAll(connection, rawResponse("404 None\r\n", ""));
        configuration later;
        later.revision = 2;
        wire::KeyValueEntry entry;
        entry.set_value(toWire(later).SerializeAsString());
        entry.set_modify_index(2);
        return sendAll(connection, rawResponse("200 OK\r\n", "[" + toJson(entry) + "]"));
    }

    std::atomic<bool> stored = false;
};

struct host_before_a_store_that_loses_an_answer
    : store_that_loses_an_answer
    , host_that_holds_all_groups
{
    auto change(const configuration_change &request, std::optional<std::uint64_t> expected)
            -> result<configuration>
    {
        std::promise<result<configuration>> reply;
        changeConfiguration(*daemon, request, expected, [&](result<configuration> ended) {
            reply.set_value(std::move(ended));
        });
        return reply.get_future().get();
    }

    raw_server raw{[this](raw_connection &connection) { return answer(connection); },
                   daemon->store.address.port};
};

} // namespace

// Guards against a false "nothing was stored": the first write of a change was stored, its answer
// lost, and the second attempt fails for what has been written since.
TEST_CASE_METHOD(host_before_a_store_that_loses_an_answer,
                 "change_whose_first_write_may_be_stored_ends_as_unknown", "[daemon]")
{
    const auto ended = change(set_domain{"a", true}, 0);
    CHECK(stored);
    REQUIRE_FALSE(ended);
    CHECK(ended.error().code == error_code::Unknown);
}

} // namespace parsleyloft
