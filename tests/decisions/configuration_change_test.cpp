// Changes of the configuration by operators.
#include "decisions/configuration_change.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct configured_region
{
    configured_region() { current.revision = 4; }

    auto apply(const configuration_change &change, std::optional<std::uint64_t> expected = {})
            -> result<configuration>
    {
        return applyChange(current, change, expected, services);
    }

    configuration current;
    std::vector<service_info> services{{"orders", true, 8, true}};
    class_of_work order{"order", "orders", 2s, false, 5};
};

} // namespace

TEST_CASE_METHOD(configured_region, "valid_change_raises_the_revision", "[configuration]")
{
    const auto next = apply(set_class{order});
    REQUIRE(next);
    CHECK(next->revision == 5);
    CHECK(next->classes.at("order") == order);
}

TEST_CASE_METHOD(configured_region, "change_against_another_revision_is_a_conflict",
                 "[configuration]")
{
    CHECK(apply(set_class{order}, 3).error().code == error_code::Conflict);
    CHECK(apply(set_class{order}, 4));
}

TEST_CASE_METHOD(configured_region, "class_with_an_invalid_value_is_refused", "[configuration]")
{
    auto invalid = order;
    invalid.service = "nowhere";
    CHECK(apply(set_class{invalid}).error().code == error_code::InvalidInput);
    invalid = order;
    invalid.maxWait = 0ms;
    CHECK(apply(set_class{invalid}).error().code == error_code::InvalidInput);
    invalid = order;
    invalid.maxRefusedPermille = 1001;
    CHECK(apply(set_class{invalid}).error().code == error_code::InvalidInput);
}

TEST_CASE_METHOD(configured_region, "missing_class_can_not_be_removed", "[configuration]")
{
    CHECK(apply(remove_class{"none"}).error().code == error_code::NotFound);
}

TEST_CASE_METHOD(configured_region, "domain_taken_out_of_service_and_back_leaves_no_entry",
                 "[configuration]")
{
    current = *apply(set_domain{"a", true});
    CHECK(current.evacuatedDomains.contains("a"));
    current = *apply(set_domain{"a", false});
    CHECK(current.evacuatedDomains.empty());
}

TEST_CASE_METHOD(configured_region, "stored_configuration_of_a_lower_revision_is_not_adopted",
                 "[configuration]")
{
    configuration older;
    older.revision = 3;
    CHECK_FALSE(replaceIfNewer(current, older));
    CHECK(current.revision == 4);
    older.revision = 9;
    CHECK(replaceIfNewer(current, older));
}

} // namespace parsleyloft
