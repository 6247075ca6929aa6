// Leader election by promises of the members.
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
        for (const auto &member : record.members) {
            hosts.push_back(newLeadership(limits, member, start));
            adoptNewerRecord(hosts.back(), record);
        }
    }

    auto elect(std::size_t candidate, std::size_t voter, instant time) -> bool
    {
        const auto request = becomeCandidate(hosts[candidate], time, std::nullopt);
        if (!request)
            return false;
        return handleConsentReply(hosts[candidate], decideConsent(hosts[voter], *request, time),
                                  time);
    }

    lease_limits limits;
    instant start{1h};
    // Promises of earlier processes have ended by then.
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
    REQUIRE(becomeCandidate(hosts[0], later, std::nullopt));
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
    recordConfirmation(hosts[0], "b", 1, later + 500ms, 1);
    CHECK(isLicensed(hosts[0], later + 900ms));
}

TEST_CASE_METHOD(three_members, "member_that_promised_refuses_another_until_its_promise_ends",
                 "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    CHECK_FALSE(elect(2, 1, later + limits.licence - 10ms));
    CHECK(elect(2, 1, later + limits.licence + 10ms));
}

TEST_CASE_METHOD(three_members, "member_consents_only_once_in_one_term", "[leadership]")
{
    const auto first = becomeCandidate(hosts[0], later, std::nullopt);
    const auto second = becomeCandidate(hosts[2], later, std::nullopt);
    REQUIRE(first->requestedTerm == second->requestedTerm);
    CHECK(decideConsent(hosts[1], *first, later).granted);
    CHECK_FALSE(decideConsent(hosts[1], *second, later + 10s).granted);
}

TEST_CASE_METHOD(three_members, "member_that_restarted_does_not_consent_under_its_old_start",
                 "[leadership]")
{
    const auto first = becomeCandidate(hosts[0], later, std::nullopt);
    const auto second = becomeCandidate(hosts[2], later, std::nullopt);
    REQUIRE(decideConsent(hosts[1], *first, later).granted);
    auto restarted = newLeadership(limits, {"b", 2, "b"}, later);
    adoptNewerRecord(restarted, record);
    CHECK_FALSE(decideConsent(restarted, *second, later + 10s).granted);
    // With its old start number, the restarted process would consent twice in one term, which could
    // elect two leaders.
    auto withOldStart = newLeadership(limits, {"b", 1, "b"}, later);
    adoptNewerRecord(withOldStart, record);
    CHECK(decideConsent(withOldStart, *second, later + 10s).granted);
}

TEST_CASE_METHOD(three_members,
                 "member_that_restarted_consents_only_after_its_earlier_promises_ended",
                 "[leadership]")
{
    auto restarted = newLeadership(limits, {"b", 2, "b"}, later);
    restarted.recordRead = true;
    auto renewed = record;
    renewed.version = 2;
    renewed.leaderTerm = {2, 0};
    const consent_request request{"a", {2, 0}, renewed};
    CHECK_FALSE(decideConsent(restarted, request, later + limits.licence - 10ms).granted);
    CHECK(decideConsent(restarted, request, later + limits.licence + 10ms).granted);
}

TEST_CASE_METHOD(three_members, "leader_that_granted_a_lease_refuses_other_candidates",
                 "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    extendOwnPromise(hosts[0], later + 500ms);
    observeTerm(hosts[2], hosts[0].highestTerm);
    const auto request = becomeCandidate(hosts[2], later + 1s, std::nullopt);
    REQUIRE(request);
    CHECK_FALSE(decideConsent(hosts[0], *request, later + 1s).granted);
    CHECK(decideConsent(hosts[0], *request, later + 1200ms).granted);
}

TEST_CASE_METHOD(three_members, "leader_unlicensed_for_an_election_timeout_resigns", "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    resignIfUnlicensed(hosts[0], later + 1s);
    CHECK(hosts[0].role == leadership_role::Leader);
    resignIfUnlicensed(hosts[0], later + 2s);
    CHECK(hosts[0].role == leadership_role::Follower);
}

TEST_CASE_METHOD(three_members, "record_changes_one_host_id_at_a_time", "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    recordConfirmation(hosts[0], "b", 1, later, 1);
    const std::vector<host_status> statuses{{{"a", 1, "a"}, true, false},
                                            {{"b", 1, "b"}, true, false},
                                            {{"c", 1, "c"}, false, false},
                                            {{"d", 1, "d"}, true, false},
                                            {{"e", 1, "e"}, true, false}};
    const auto next = proposeRecord(hosts[0], statuses);
    REQUIRE(next);
    CHECK(next->version == 2);
    CHECK(next->members.size() == 2);
}

TEST_CASE_METHOD(three_members, "record_changes_only_after_a_majority_has_the_present_one",
                 "[leadership]")
{
    REQUIRE(elect(0, 1, later));
    const std::vector<host_status> statuses{{{"d", 1, "d"}, true, false}};
    CHECK_FALSE(proposeRecord(hosts[0], statuses));
    recordConfirmation(hosts[0], "b", 1, later, 1);
    CHECK(proposeRecord(hosts[0], statuses));
}

TEST_CASE_METHOD(three_members, "candidate_with_stale_record_is_refused", "[leadership]")
{
    auto newer = record;
    newer.version = 5;
    adoptNewerRecord(hosts[1], newer);
    const auto request = becomeCandidate(hosts[0], later, std::nullopt);
    const auto reply = decideConsent(hosts[1], *request, later);
    CHECK_FALSE(reply.granted);
    CHECK(reply.record.version == 5);
}

TEST_CASE("record_that_changed_since_it_was_last_read_is_not_replaced", "[leadership]")
{
    const instant start{1h};
    auto region = newRegion({}, {"a", 1, "a"}, {}, start);
    region.leadership.record.version = 3;
    region.leadership.record.members = {{"a", 1, "a"}};
    const auto now = start + 10s;
    CHECK_FALSE(mayReplaceRecord(region, {}, 7, now));
    CHECK(mayReplaceRecord(region, {}, 7, now));
    CHECK_FALSE(mayReplaceRecord(region, {}, 8, now));
}

} // namespace parsleyloft
