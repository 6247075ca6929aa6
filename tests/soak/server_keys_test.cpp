// Guards against a soak whose servers hold keys in another way than the platform's protocol says:
// the hosts' grants and releases would be checked against wrong servers.
#include "soak/server_keys.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct server_with_a_grant
{
    server_with_a_grant() { REQUIRE(grantKeys(grants, {100, 199, 5, grantEnd})); }

    auto holds(std::uint32_t key, instant at) const -> bool
    {
        return findHoldEnd(grants, key, at).has_value();
    }

    instant start{};
    instant grantEnd = start + 10s;
    key_grants grants;
};

} // namespace

TEST_CASE_METHOD(server_with_a_grant, "granted_keys_are_held_until_the_grant_ends", "[server_keys]")
{
    CHECK(holds(100, start));
    CHECK(holds(199, grantEnd - 1us));
    CHECK_FALSE(holds(99, start));
    CHECK_FALSE(holds(200, start));
    CHECK_FALSE(holds(150, grantEnd));
}

TEST_CASE_METHOD(server_with_a_grant, "grant_with_the_same_fence_renews", "[server_keys]")
{
    REQUIRE(grantKeys(grants, {100, 199, 5, grantEnd + 5s}));
    CHECK(findHoldEnd(grants, 150, grantEnd) == grantEnd + 5s);
}

TEST_CASE_METHOD(server_with_a_grant, "grant_with_a_lower_fence_on_one_key_changes_nothing",
                 "[server_keys]")
{
    CHECK_FALSE(grantKeys(grants, {199, 300, 4, grantEnd}));
    CHECK_FALSE(holds(300, start));
    CHECK(holds(199, start));
    CHECK(grantKeys(grants, {200, 300, 4, grantEnd}));
}

TEST_CASE_METHOD(server_with_a_grant, "release_of_a_part_leaves_the_rest", "[server_keys]")
{
    releaseKeys(grants, {120, 129, 6, {}});
    CHECK(holds(119, start));
    CHECK_FALSE(holds(120, start));
    CHECK_FALSE(holds(129, start));
    CHECK(holds(130, start));
}

TEST_CASE_METHOD(server_with_a_grant, "released_keys_take_no_grant_below_the_fences_seen",
                 "[server_keys]")
{
    releaseKeys(grants, {50, 249, 7, {}});
    CHECK_FALSE(grantKeys(grants, {50, 60, 6, grantEnd}));
    CHECK_FALSE(grantKeys(grants, {150, 160, 6, grantEnd}));
    CHECK_FALSE(grantKeys(grants, {249, 249, 6, grantEnd}));
    CHECK(grantKeys(grants, {50, 249, 7, grantEnd}));
}

TEST_CASE_METHOD(server_with_a_grant, "release_with_a_lower_fence_is_carried_out", "[server_keys]")
{
    releaseKeys(grants, {0, 65535, 1, {}});
    CHECK_FALSE(holds(150, start));
    CHECK_FALSE(grantKeys(grants, {150, 150, 4, grantEnd}));
    CHECK(grantKeys(grants, {10, 20, 1, grantEnd}));
}

} // namespace parsleyloft
