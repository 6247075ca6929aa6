// Leadership by promises of the members.
#include "decisions/candidacy.h"
#include "decisions/leadership.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct three_members
{
    three_members()
    {
        record.version = 1;
        record.leaderTerm = {1, 0};
        for (const auto *name : {"a", "b", "c"})
            record.members.push_back({name, 1, name});
        for (const auto &one : record.members) {
            hosts.push_back(newLeadership(limits, one, start));
            learnRecord(hosts.back(), record);
        }
    }

    auto elect(std::size_t candidate, std::size_t voter, instant at) -> bool
    {
        const auto request = standAsCandidate(hosts[candidate], at, std::nullopt);
        if (!request)
            return false;
        return countConsent(hosts[candidate], answerConsent(hosts[voter], *request, at), at);
    }

    lease_limits limits;
    instant start{1h};
    // Past promises of a former life have ended.
    instant later = start + 10s;
    member_record record;
    std::vector<leadership_state> hosts;
};

} // namespace

TEST_CASE_METHOD(three_members, "candidate_with_majority_consent_leads", "[leadership]")
{
    CHECK(elect(0, 1, later));
    CHECK(isLicensed(hosts[0], later));
}

TEST_CASE_METHOD(three_members, "candidate_alone_does_not_lead", "[leadership]")
{
    REQUIRE(standAsCandidate(hosts[0], later, std::nullopt));
    CHECK(hosts[0].role == leadership_role::Candidate);
    CHECK_FALSE(isLicensed(hosts[0], later));
}

TEST_CASE_METHOD(three_members, "leader_without_confirmations_loses_its_licence", "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    CHECK_FALSE(isLicensed(hosts[0], later + limits.licence));
}

TEST_CASE_METHOD(three_members, "leader_with_returned_stamp_keeps_its_licence", "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    countConfirmation(hosts[0], "b", 1, later + 500ms, 1);
    CHECK(isLicensed(hosts[0], later + 900ms));
}

TEST_CASE_METHOD(three_members, "member_that_promised_refuses_another_until_its_promise_ends",
                 "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    CHECK_FALSE(elect(2, 1, later + limits.licence - 10ms));
    CHECK(elect(2, 1, later + limits.licence + 10ms));
}

TEST_CASE_METHOD(three_members, "member_never_consents_twice_in_one_term", "[leadership]")
{
    const auto first = standAsCandidate(hosts[0], later, std::nullopt);
    const auto second = standAsCandidate(hosts[2], later, std::nullopt);
    REQUIRE(first->asked == second->asked);
    CHECK(answerConsent(hosts[1], *first, later).granted);
    CHECK_FALSE(answerConsent(hosts[1], *second, later + 10s).granted);
}

TEST_CASE_METHOD(three_members, "member_that_restarted_does_not_consent_under_its_old_start",
                 "[leadership]")
{
    const auto first = standAsCandidate(hosts[0], later, std::nullopt);
    const auto second = standAsCandidate(hosts[2], later, std::nullopt);
    REQUIRE(answerConsent(hosts[1], *first, later).granted);
    auto restarted = newLeadership(limits, {"b", 2, "b"}, later);
    learnRecord(restarted, record);
    CHECK_FALSE(answerConsent(restarted, *second, later + 10s).granted);
    // The same process with its old start number would have made two leaders of one term.
    auto forgetful = newLeadership(limits, {"b", 1, "b"}, later);
    learnRecord(forgetful, record);
    CHECK(answerConsent(forgetful, *second, later + 10s).granted);
}

TEST_CASE_METHOD(three_members, "member_that_restarted_waits_out_its_former_promises",
                 "[leadership]")
{
    auto restarted = newLeadership(limits, {"b", 2, "b"}, later);
    restarted.recordRead = true;
    auto renewed = record;
    renewed.version = 2;
    renewed.leaderTerm = {2, 0};
    const consent_request request{"a", {2, 0}, renewed};
    CHECK_FALSE(answerConsent(restarted, request, later + limits.licence - 10ms).granted);
    CHECK(answerConsent(restarted, request, later + limits.licence + 10ms).granted);
}

TEST_CASE_METHOD(three_members, "leader_that_gave_a_lease_refuses_others", "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    promiseOneself(hosts[0], later + 500ms);
    meetTerm(hosts[2], hosts[0].highest);
    const auto request = standAsCandidate(hosts[2], later + 1s, std::nullopt);
    REQUIRE(request);
    CHECK_FALSE(answerConsent(hosts[0], *request, later + 1s).granted);
    CHECK(answerConsent(hosts[0], *request, later + 1200ms).granted);
}

TEST_CASE_METHOD(three_members, "leader_without_licence_for_long_resigns", "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    resignIfStale(hosts[0], later + 1s);
    CHECK(hosts[0].role == leadership_role::Leader);
    resignIfStale(hosts[0], later + 2s);
    CHECK(hosts[0].role == leadership_role::Follower);
}

TEST_CASE_METHOD(three_members, "record_changes_one_host_id_at_a_time", "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    countConfirmation(hosts[0], "b", 1, later, 1);
    const std::vector<live_host> live{{{"a", 1, "a"}, true, false},
                                      {{"b", 1, "b"}, true, false},
                                      {{"c", 1, "c"}, false, false},
                                      {{"d", 1, "d"}, true, false},
                                      {{"e", 1, "e"}, true, false}};
    const auto next = proposeRecord(hosts[0], live);
    REQUIRE(next);
    CHECK(next->version == 2);
    CHECK(next->members.size() == 2);
}

TEST_CASE_METHOD(three_members, "record_waits_until_a_majority_knows_the_present_one",
                 "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    const std::vector<live_host> live{{{"d", 1, "d"}, true, false}};
    CHECK_FALSE(proposeRecord(hosts[0], live));
    countConfirmation(hosts[0], "b", 1, later, 1);
    CHECK(proposeRecord(hosts[0], live));
}

TEST_CASE_METHOD(three_members, "candidate_with_stale_record_is_refused", "[leadership]")
{
    auto newer = record;
    newer.version = 5;
    learnRecord(hosts[1], newer);
    const auto request = standAsCandidate(hosts[0], later, std::nullopt);
    const auto reply = answerConsent(hosts[1], *request, later);
    CHECK_FALSE(reply.granted);
    CHECK(reply.record.version == 5);
}

TEST_CASE("record_that_changed_since_the_last_look_is_not_supplanted", "[leadership]")
{
    const instant start{1h};
    auto region = newRegion({}, {"a", 1, "a"}, {}, start);
    region.leadership.record.version = 3;
    region.leadership.record.members = {{"a", 1, "a"}};
    const auto now = start + 10s;
    CHECK_FALSE(maySupplant(region, {}, 7, now));
    CHECK(maySupplant(region, {}, 7, now));
    CHECK_FALSE(maySupplant(region, {}, 8, now));
}

} // namespace parsleyloft
