// Operators' changes.
#include "decisions/configuration_change.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct one_class
{
    one_class() { current.revision = 4; }

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

TEST_CASE_METHOD(one_class, "change_that_makes_sense_raises_the_revision", "[configuration]")
{
    const auto next = apply(set_class{order});
    REQUIRE(next);
    CHECK(next->revision == 5);
    CHECK(next->classes.at("order") == order);
}

TEST_CASE_METHOD(one_class, "change_against_another_revision_is_a_conflict", "[configuration]")
{
    CHECK(apply(set_class{order}, 3).error().code == error_code::Conflict);
    CHECK(apply(set_class{order}, 4));
}

TEST_CASE_METHOD(one_class, "class_with_a_target_out_of_range_is_refused", "[configuration]")
{
    auto wrong = order;
    wrong.service = "nowhere";
    CHECK(apply(set_class{wrong}).error().code == error_code::InvalidInput);
    wrong = order;
    wrong.maxWait = 0ms;
    CHECK(apply(set_class{wrong}).error().code == error_code::InvalidInput);
    wrong = order;
    wrong.maxRefusedPermille = 1001;
    CHECK(apply(set_class{wrong}).error().code == error_code::InvalidInput);
}

TEST_CASE_METHOD(one_class, "class_that_is_not_there_can_not_be_removed", "[configuration]")
{
    CHECK(apply(remove_class{"none"}).error().code == error_code::NotFound);
}

TEST_CASE_METHOD(one_class, "domain_taken_out_and_in_leaves_no_trace", "[configuration]")
{
    current = *apply(set_domain{"a", true});
    CHECK(current.evacuatedDomains.contains("a"));
    current = *apply(set_domain{"a", false});
    CHECK(current.evacuatedDomains.empty());
}

TEST_CASE_METHOD(one_class, "stored_configuration_of_a_lower_revision_is_not_taken",
                 "[configuration]")
{
    configuration older;
    older.revision = 3;
    CHECK_FALSE(takeConfiguration(current, older));
    CHECK(current.revision == 4);
    older.revision = 9;
    CHECK(takeConfiguration(current, older));
}

} // namespace parsleyloft
