// Grants that end on the server's own clock.
#include "decisions/server_grant.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct granting_host
{
    granting_host()
    {
        beginGroupEpoch(state, {{1, 0}, 1}, limits, now);
        recordGrantAnswer(state, serverClock, 7, now);
    }

    lease_limits limits;
    instant now{1h};
    std::int64_t serverClock = 5'000'000;
    server_grant_state state;
};

} // namespace

TEST_CASE_METHOD(granting_host, "grant_ends_on_the_servers_clock_no_later_than_the_lease",
                 "[server_grant]")
{
    const auto until = beginNextGrant(state, now + 2s, limits);
    REQUIRE(until);
    CHECK(*until <= serverClock + 2'000'000);
    CHECK(*until >= serverClock + 1'990'000);
}

TEST_CASE_METHOD(granting_host, "grant_without_a_clock_reading_is_not_made", "[server_grant]")
{
    server_grant_state fresh;
    CHECK_FALSE(beginNextGrant(fresh, now + 2s, limits));
}

TEST_CASE_METHOD(granting_host, "grants_to_a_lost_server_end_only_with_the_last_one_sent",
                 "[server_grant]")
{
    beginNextGrant(state, now + 4s, limits);
    for (int count = 0; count < 3; ++count)
        recordGrantFailure(state);
    CHECK(state.lost);
    CHECK_FALSE(beginNextGrant(state, now + 9s, limits));
    CHECK_FALSE(grantsHaveEnded(state, now + 3s));
    CHECK(grantsHaveEnded(state, now + 4s));
}

TEST_CASE_METHOD(granting_host, "grants_of_the_previous_holder_count_until_they_must_have_ended",
                 "[server_grant]")
{
    beginGroupEpoch(state, {{1, 0}, 2}, limits, now);
    for (int count = 0; count < 3; ++count)
        recordGrantFailure(state);
    CHECK_FALSE(grantsHaveEnded(state, now + 1900ms));
    CHECK(grantsHaveEnded(state, now + 2100ms));
}

TEST_CASE_METHOD(granting_host, "server_with_another_start_number_has_restarted", "[server_grant]")
{
    CHECK(recordGrantAnswer(state, 1, 8, now + 1s) == grant_answer::Restarted);
}

} // namespace parsleyloft
