// Tests of the pauses that servers request: a server that turns a request away with a retry time
// gets no request from the same host until that time is over.
#include "decisions/server_pauses.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct pauses_of_a_host
{
    auto remaining(instant at, std::int64_t start = 1000) const -> duration
    {
        return remainingPause(pauses, "s1", start, at);
    }

    instant now{1h};
    server_pauses pauses;
};

} // namespace

TEST_CASE_METHOD(pauses_of_a_host, "paused_server_is_paused_until_the_end_of_its_pause", "[pauses]")
{
    recordPause(pauses, "s1", 1000, 2s, now);
    CHECK(remaining(now) == 2s);
    CHECK(remaining(now + 1500ms) == 500ms);
    CHECK(remaining(now + 2s) == 0us);
    CHECK(pausedServers(pauses, now + 1s) == std::vector<server_id>{"s1"});
    CHECK(pausedServers(pauses, now + 2s).empty());
}

TEST_CASE_METHOD(pauses_of_a_host, "shorter_pause_does_not_end_a_longer_one", "[pauses]")
{
    recordPause(pauses, "s1", 1000, 5s, now);
    recordPause(pauses, "s1", 1000, 1s, now + 1s);
    CHECK(remaining(now + 1s) == 4s);
}

TEST_CASE_METHOD(pauses_of_a_host, "later_incarnation_is_not_bound_by_a_pause", "[pauses]")
{
    recordPause(pauses, "s1", 1000, 5s, now);
    CHECK(remaining(now, 2000) == 0us);
    recordPause(pauses, "s1", 2000, 1s, now);
    CHECK(remaining(now, 2000) == 1s);
    // A late answer of the earlier incarnation changes nothing.
    recordPause(pauses, "s1", 1000, 5s, now);
    CHECK(remaining(now, 2000) == 1s);
}

TEST_CASE_METHOD(pauses_of_a_host, "absurd_pause_is_cut", "[pauses]")
{
    recordPause(pauses, "s1", 1000, 24h, now);
    CHECK(remaining(now) == 60s);
}

TEST_CASE_METHOD(pauses_of_a_host, "ended_pauses_are_forgotten", "[pauses]")
{
    for (int index = 0; index < 1000; ++index)
        recordPause(pauses, "s" + std::to_string(index), 1000, 1s, now + index * 10ms);
    CHECK(pauses.byServer.size() <= 101);
}

} // namespace parsleyloft
