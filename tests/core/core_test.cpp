// Tests of name tables, endpoints and hashes.
#include "core/endpoint.h"
#include "core/hash.h"
#include "core/host_time.h"
#include "core/outcome.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

TEST_CASE("name_table_with_every_reason_reads_back_each_value", "[core]")
{
    for (const auto &entry : reasonNames)
        CHECK(valueIn(reasonNames, entry.name) == entry.value);
    CHECK_FALSE(valueIn(reasonNames, "no such reason"));
}

TEST_CASE("endpoint_with_address_and_port_is_parsed", "[core]")
{
    const auto parsed = parseEndpoint("127.0.0.1:8080");
    REQUIRE(parsed);
    CHECK(parsed->address == "127.0.0.1");
    CHECK(parsed->port == 8080);
}

TEST_CASE("endpoint_without_valid_port_is_an_error", "[core]")
{
    for (const auto *text :
         {"127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000", ":80", "127.0.0.1:8x"})
        CHECK_FALSE(parseEndpoint(text));
}

TEST_CASE("shard_of_a_key_is_the_same_on_every_build", "[core]")
{
    // A different hash would move every key of a running deployment.
    CHECK(shardOf("order-book-17", 48) == 6);
    CHECK(shardOf("plug-3", 52) == 47);
}

// Guards against a host that relies on a lease which ended while its machine was suspended.
TEST_CASE("time_is_left_only_if_both_clocks_have_some", "[core]")
{
    const host_time start{instant(5s), 60s};
    const auto end = timeAfter(start, 3s);
    CHECK(timeLeft(end, start) == 3s);
    CHECK(timeLeft(end, timeAfter(start, 3s)) == 0s);
    const host_time afterSuspension{start.monotonic + 100ms, start.sinceBoot + 4s};
    CHECK(timeLeft(end, afterSuspension) == -1s);
    const host_time withoutBootClock{start.monotonic + 4s, start.sinceBoot};
    CHECK(timeLeft(end, withoutBootClock) == -1s);
}

} // namespace parsleyloft
