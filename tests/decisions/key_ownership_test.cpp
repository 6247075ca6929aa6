// Tests of key ownership: each key has at most one owner at a time, also under failures. The seeded
// cases run a model of servers, store and leaders; PARSLEYLOFT_SEED selects a single seed.
#include "support/ownership_model.h"

#include <catch2/catch.hpp>

#include <cstdlib>

namespace parsleyloft {

namespace {

struct manager_with_two_servers
{
    manager_with_two_servers()
    {
        recordServer(directory, first, now);
        recordServer(directory, second, now);
        ownership_table empty;
        empty.service = "ledger";
        manager = makeOwnershipManager(limits, empty, {0, 1}, now);
        now += 1s;
        planAndStore();
        grantAll();
        firstUnusedFence = manager.table.nextFence;
    }

    auto planAndStore() -> bool
    {
        const auto planned = planOwnership(manager, directory, {}, now);
        if (planned)
            applyStoredTable(manager, *planned, now);
        return planned.has_value();
    }

    auto orders() -> std::vector<key_order>
    {
        return dueOrders(manager, directory, renewal_pace::Steady, now);
    }

    auto grantAll() -> void
    {
        for (const auto &order : orders())
            recordOrderResult(manager, order, order_result::Done, {}, now);
        markHeld(manager);
    }

    auto countSlicesOf(const server_id &id) const -> std::size_t
    {
        return static_cast<std::size_t>(
                std::count_if(manager.table.slices.begin(), manager.table.slices.end(),
                              [&](const auto &slice) { return slice.owner.id == id; }));
    }

    auto drain(server_record &server) -> void
    {
        server.draining = true;
        recordServer(directory, server, now);
        planAndStore();
    }

    // Sends the releases that are due. A server that has carried one out rejects the earlier grants
    // that overlap it, and the new owner's fence is not below the release's.
    auto checkReleasesFenceOff(const std::vector<key_order> &grants) -> void
    {
        std::size_t releases = 0;
        for (const auto &release : orders()) {
            if (release.kind != order_kind::Release)
                continue;
            ++releases;
            for (const auto &grant : grants) {
                const auto overlaps = grant.from <= release.to && grant.to >= release.from;
                if (overlaps && grant.server == release.server)
                    CHECK(grant.fence < release.fence);
            }
            CHECK(findSlice(manager.table, release.from)->fence >= release.fence);
            recordOrderResult(manager, release, order_result::Done, "token", now);
        }
        CHECK(releases == 4);
    }

    instant now{1h};
    ownership_limits limits;
    server_record first{"s1", "ledger", {"10.0.0.1", 80}, "a", 3, false, 0us, 1000};
    server_record second{"s2", "ledger", {"10.0.0.2", 80}, "a", 3, false, 0us, 1001};
    server_directory directory;
    ownership_manager manager;
    fence_number firstUnusedFence = 0;
};

auto selectSeeds(std::uint64_t count) -> std::vector<std::uint64_t>
{
    if (const auto *only = std::getenv("PARSLEYLOFT_SEED"))
        return {std::strtoull(only, nullptr, 10)};
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = 1; seed <= count; ++seed)
        seeds.push_back(seed);
    return seeds;
}

auto checkSeeds(std::uint64_t count, const ownership_faults &faults) -> void
{
    int grants = 0;
    int lateGrants = 0;
    int replacedTables = 0;
    int foreignEntries = 0;
    const auto seeds = selectSeeds(count);
    for (const auto seed : seeds) {
        const auto result = runOwnership(seed, faults);
        INFO("seed " << seed);
        CHECK(result.breach == "");
        CHECK(result.unowned == 0);
        grants += result.grants;
        lateGrants += result.lateGrants;
        replacedTables += result.replacedTables;
        foreignEntries += result.foreignEntries;
    }
    CHECK(grants > 0);
    // A single seed may have none.
    if (seeds.size() > 1) {
        CHECK((lateGrants > 0) == (faults.lateOrders > 0));
        CHECK((replacedTables > 0) == faults.lateWrites);
        CHECK((foreignEntries > 0) == faults.foreignEntries);
    }
}

} // namespace

TEST_CASE_METHOD(manager_with_two_servers, "first_table_covers_all_keys_and_both_servers",
                 "[ownership]")
{
    CHECK(findSlice(manager.table, 0) != nullptr);
    CHECK(findSlice(manager.table, lastKey) != nullptr);
    CHECK(countSlicesOf("s1") == countSlicesOf("s2"));
}

TEST_CASE_METHOD(manager_with_two_servers, "draining_owner_releases_before_another_is_granted",
                 "[ownership]")
{
    drain(first);
    const auto releases = orders();
    REQUIRE(releases.size() == 4);
    for (const auto &order : releases) {
        CHECK(order.kind == order_kind::Release);
        CHECK(order.server.id == "s1");
        recordOrderResult(manager, order, order_result::Done, "token", now);
    }
    for (const auto &order : orders()) {
        CHECK(order.kind == order_kind::Grant);
        CHECK(order.server.id == "s2");
        CHECK(order.handover == "token");
    }
}

TEST_CASE_METHOD(manager_with_two_servers,
                 "unresponsive_owner_is_replaced_only_after_its_last_grant_expired", "[ownership]")
{
    const auto granted = now;
    recordServerRemoved(directory, "s1", now);
    planAndStore();
    for (; now < granted + limits.hold; now += 100ms) {
        for (const auto &order : orders()) {
            if (order.server.id == "s2")
                CHECK(order.fence < firstUnusedFence);
            recordOrderResult(manager, order,
                              order.server.id == "s1" ? order_result::Unanswered
                                                      : order_result::Done,
                              {}, now);
        }
    }
    now = granted + longestHold(limits) + 1s;
    const auto later = orders();
    CHECK(std::count_if(later.begin(), later.end(),
                        [&](const auto &order) {
                            return order.server.id == "s2" && order.fence >= firstUnusedFence;
                        })
          == 4);
}

// Guards against a second holder: a server that had started again under its id took a renewal, and
// its keys went to another server too.
TEST_CASE_METHOD(manager_with_two_servers, "restarted_owner_releases_before_another_is_granted",
                 "[ownership]")
{
    const auto before = manager.table.nextFence;
    const auto old = first.address;
    now += limits.renewAfter;
    const auto renewals = orders();
    first.startTimeMs = 2000;
    const auto moved = GENERATE(false, true);
    if (moved)
        first.address = {"10.0.0.9", 80};
    recordServer(directory, first, now);
    REQUIRE(planAndStore());
    for (const auto &order : renewals)
        recordOrderResult(manager, order, order_result::Done, {}, now);
    const auto releases = orders();
    CHECK(releases.size() == 4);
    for (const auto &order : releases) {
        CHECK(order.kind == order_kind::Release);
        CHECK(order.fence >= before);
        CHECK(order.server == key_owner{"s1", 1000, old});
        recordOrderResult(manager, order, order_result::Done, {}, now);
    }
    const auto grants = orders();
    CHECK(grants.size() == 4);
    for (const auto &order : grants) {
        CHECK(order.kind == order_kind::Grant);
        CHECK(order.fence >= before);
    }
}

TEST_CASE_METHOD(manager_with_two_servers,
                 "restarted_owner_that_does_not_answer_is_replaced_when_its_grants_have_expired",
                 "[ownership]")
{
    now += limits.renewAfter;
    for (const auto &order : orders())
        recordOrderResult(manager, order, order_result::Unanswered, {}, now);
    const auto ends = now + longestHold(limits);
    first.startTimeMs = 2000;
    recordServer(directory, first, now);
    planAndStore();
    for (; now < ends; now += 100ms) {
        for (const auto &order : orders()) {
            CHECK((order.kind == order_kind::Release || order.fence < firstUnusedFence));
            recordOrderResult(manager, order,
                              order.kind == order_kind::Release ? order_result::Unanswered
                                                                : order_result::Done,
                              {}, now);
        }
    }
    CHECK(std::any_of(manager.table.slices.begin(), manager.table.slices.end(),
                      [](const auto &slice) { return slice.phase == slice_phase::Pending; }));
    now += limits.retryAfter;
    const auto later = orders();
    CHECK(std::any_of(later.begin(), later.end(), [&](const auto &order) {
        return order.kind == order_kind::Grant && order.fence >= firstUnusedFence;
    }));
}

// Guards against a second holder: an entry under an owner's id, with a later start and another
// server's address, sent the release to that server, whose answer ended the owner.
TEST_CASE_METHOD(manager_with_two_servers,
                 "entry_with_another_address_under_an_owners_id_leaves_the_release_to_the_owner",
                 "[ownership]")
{
    const auto held = first.address;
    const auto service = GENERATE(as<service_name>{}, "ledger", "figures");
    const auto address = GENERATE(endpoint{"10.0.0.2", 80}, endpoint{"10.0.0.9", 80});
    recordServer(directory, {"s1", service, address, "a", 3, false, 0us, 2000}, now);
    REQUIRE(planAndStore());
    const auto releases = orders();
    CHECK(releases.size() == 4);
    for (const auto &order : releases) {
        CHECK(order.kind == order_kind::Release);
        CHECK(order.server == key_owner{"s1", 1000, held});
        CHECK(expectedOwnerWait(*findSlice(manager.table, order.from), directory)
              == owner_wait::Long);
    }
}

// Guards against a second holder: an entry of another writer with the address of an owner ended it.
TEST_CASE_METHOD(manager_with_two_servers, "entry_with_the_address_of_an_owner_moves_no_keys",
                 "[ownership]")
{
    recordServer(directory, {"metrics", "figures", first.address, "a", 3, false, 0us, 2000}, now);
    CHECK_FALSE(planAndStore());
    now += limits.renewAfter;
    CHECK(orders().size() == 8);
}

TEST_CASE_METHOD(manager_with_two_servers,
                 "owner_whose_address_another_server_has_is_replaced_without_a_wait", "[ownership]")
{
    recordServerRemoved(directory, "s1", now);
    planAndStore();
    for (const auto &order : orders()) {
        CHECK(order.kind == order_kind::Release);
        CHECK(order.server.id == "s1");
        recordOrderResult(manager, order, order_result::OtherServer, {}, now);
    }
    const auto grants = orders();
    CHECK(grants.size() == 4);
    for (const auto &order : grants) {
        CHECK(order.kind == order_kind::Grant);
        CHECK(order.server.id == "s2");
    }
}

// Guards against a second holder: a busy leader sent a renewal well after it had planned it, and
// counted the hold of its unresponsive owner from the plan.
TEST_CASE_METHOD(manager_with_two_servers, "hold_of_an_unanswered_renewal_counts_from_its_end",
                 "[ownership]")
{
    now += limits.renewAfter;
    const auto renewals = orders();
    const auto movedMeanwhile = GENERATE(false, true);
    const auto move = [&] {
        recordServerRemoved(directory, "s1", now);
        planAndStore();
    };
    if (movedMeanwhile)
        move();
    now += limits.callTimeout + 2s;
    for (const auto &order : renewals)
        recordOrderResult(manager, order,
                          order.server.id == "s1" ? order_result::Unanswered : order_result::Done,
                          {}, now);
    const auto ends = now + limits.hold;
    if (!movedMeanwhile)
        move();
    for (; now < ends; now += 100ms) {
        for (const auto &order : orders()) {
            CHECK((order.server.id == "s1" || order.fence < firstUnusedFence));
            recordOrderResult(manager, order,
                              order.server.id == "s1" ? order_result::Unanswered
                                                      : order_result::Done,
                              {}, now);
        }
    }
}

// Guards against a second holder: a server answered the release and started again, and the new
// process took a renewal that was still under way.
TEST_CASE_METHOD(manager_with_two_servers, "keys_are_released_after_renewals_that_are_under_way",
                 "[ownership]")
{
    const auto result = GENERATE(order_result::Done, order_result::Unanswered);
    now += limits.renewAfter;
    const auto renewals = orders();
    REQUIRE(renewals.size() == 8);
    drain(first);
    CHECK(orders().empty());
    // The results of the renewals do not count as grants of the new owner.
    for (const auto &order : renewals)
        recordOrderResult(manager, order, result, {}, now);
    checkReleasesFenceOff(renewals);
    const auto next = orders();
    REQUIRE(next.size() == 4);
    for (const auto &order : next) {
        CHECK(order.kind == order_kind::Grant);
        CHECK(order.server.id == "s2");
    }
}

// Guards against a second holder: a grant without an answer was applied after the release.
TEST_CASE_METHOD(manager_with_two_servers, "unanswered_grant_is_rejected_after_the_release",
                 "[ownership]")
{
    now += limits.renewAfter;
    const auto renewals = orders();
    for (const auto &order : renewals)
        recordOrderResult(manager, order, order_result::Unanswered, {}, now);
    drain(first);
    now += limits.retryAfter;
    checkReleasesFenceOff(renewals);
}

// Guards against a second holder: a new leader gave keys on while a grant that its predecessor had
// sent without an answer could still be applied.
TEST_CASE_METHOD(manager_with_two_servers,
                 "unanswered_grant_of_the_previous_leader_is_rejected_after_the_release",
                 "[ownership]")
{
    now += limits.renewAfter;
    const auto renewals = orders();
    for (const auto &order : renewals)
        recordOrderResult(manager, order, order_result::Unanswered, {}, now);
    manager = makeOwnershipManager(limits, manager.table, {0, 2}, now);
    drain(first);
    checkReleasesFenceOff(renewals);
}

// Guards against a second holder: as above, with the new owner decided by the previous leader.
TEST_CASE_METHOD(manager_with_two_servers,
                 "move_of_the_previous_leader_is_completed_by_a_release_that_rejects_its_grants",
                 "[ownership]")
{
    now += limits.renewAfter;
    const auto renewals = orders();
    for (const auto &order : renewals)
        recordOrderResult(manager, order, order_result::Unanswered, {}, now);
    drain(first);
    now += limits.retryAfter;
    checkReleasesFenceOff(renewals);
    manager = makeOwnershipManager(limits, manager.table, {0, 2}, now);
    checkReleasesFenceOff(renewals);
}

TEST_CASE_METHOD(manager_with_two_servers, "grants_are_renewed_earlier_before_the_leader_stops",
                 "[ownership]")
{
    now += 1s;
    CHECK(dueOrders(manager, directory, renewal_pace::Steady, now).empty());
    CHECK(dueOrders(manager, directory, renewal_pace::BeforeStopping, now).size() == 8);
}

TEST_CASE_METHOD(manager_with_two_servers, "hot_bucket_is_split_off_and_moved_alone", "[ownership]")
{
    key_load load;
    std::map<key_number, double> work;
    for (key_number key = 0; key <= lastKey; key += 64)
        work[key] = 0.4 / 1024;
    work[5 * 64] += 0.3;
    work[20 * 64] += 0.3;
    setWork(load, work, 2);
    const auto planned = planOwnership(manager, directory, load, now);
    REQUIRE(planned);
    CHECK(planned->slices.size() > manager.table.slices.size());
    key_number next = 0;
    for (const auto &slice : planned->slices) {
        CHECK(slice.from == next);
        next = slice.to + 1;
    }
    CHECK(next == lastKey + 1);
}

TEST_CASE_METHOD(manager_with_two_servers,
                 "keys_of_an_unresponsive_owner_have_a_long_expected_wait", "[ownership]")
{
    const auto key = manager.table.slices.front().owner.id == "s1" ? key_number(0) : lastKey;
    CHECK(expectedOwnerWait(*findSlice(manager.table, key), directory) == owner_wait::Unknown);
    drain(first);
    CHECK(expectedOwnerWait(*findSlice(manager.table, key), directory) == owner_wait::Short);
    recordServerRemoved(directory, "s1", now);
    CHECK(expectedOwnerWait(*findSlice(manager.table, key), directory) == owner_wait::Long);
    // Its address alone does not show that it has ended.
    recordServer(directory, {"s3", "ledger", first.address, "a", 3, false, 0us, 5000}, now);
    CHECK(expectedOwnerWait(*findSlice(manager.table, key), directory) == owner_wait::Long);
    first.startTimeMs = 6000;
    recordServer(directory, first, now);
    CHECK(expectedOwnerWait(*findSlice(manager.table, key), directory) == owner_wait::Short);
}

namespace {

// A leader that has found the table of manager_with_two_servers after the store had come back.
struct manager_after_a_restore : manager_with_two_servers
{
    manager_after_a_restore()
    {
        now += limits.renewAfter;
        recover(lost_decisions::Recent);
    }

    auto recover(lost_decisions lost) -> void
    {
        previousLeaderEnds = now + 3s;
        manager = recoverOwnershipManager(limits, manager.table, {2, 50}, lost, previousLeaderEnds,
                                          now);
    }

    auto lostGrantEnds() const -> instant { return previousLeaderEnds + longestHold(limits); }

    // Answers all orders, except that the first server answers with the given result.
    auto answerAll(order_result ofFirst) -> void
    {
        for (const auto &order : orders())
            recordOrderResult(manager, order,
                              order.server.id == "s1" ? ofFirst : order_result::Done, {}, now);
        markHeld(manager);
    }

    auto countGrantsTo(const server_id &id) -> std::size_t
    {
        const auto due = orders();
        return static_cast<std::size_t>(
                std::count_if(due.begin(), due.end(), [&](const auto &order) {
                    return order.kind == order_kind::Grant && order.server.id == id;
                }));
    }

    instant previousLeaderEnds{};
};

} // namespace

// Guards against owners that hosts ignore because they know a later table of the same claim.
TEST_CASE_METHOD(manager_with_two_servers, "table_read_again_under_the_same_claim_is_later",
                 "[ownership]")
{
    const auto again =
            makeOwnershipManager(limits, manager.table, manager.table.leaderRevision, now);
    CHECK(isLater(again.table, manager.table));
}

// Guards against owners of an earlier era: a late write had replaced the leader's table in the
// store.
TEST_CASE_METHOD(manager_after_a_restore, "stored_table_of_another_claim_is_not_adopted",
                 "[ownership]")
{
    auto late = manager.table;
    late.leaderRevision = {1, 50};
    for (auto &slice : late.slices) {
        slice.owner = {"s2", second.startTimeMs, second.address};
        slice.fence = 20;
    }
    const auto own = manager.table;
    applyStoredTable(manager, late, now);
    CHECK(manager.table == own);
    CHECK(countSlicesOf("s1") == 4);
    CHECK(countGrantsTo("s1") == 4);
}

// Guards against fences that are assigned twice: the table of an earlier claim of the same era was
// not the one in the store.
TEST_CASE_METHOD(manager_after_a_restore, "fences_of_a_claim_are_above_all_of_earlier_claims",
                 "[ownership]")
{
    const auto late = manager.table;
    auto revision = manager.table.leaderRevision.revision;
    fence_number highest = 0;
    for (auto round = 0; round < 6; ++round) {
        now += 15s;
        answerAll(order_result::Done);
        auto &server = round % 2 == 0 ? first : second;
        server.draining = true;
        recordServer(directory, server, now);
        REQUIRE(planAndStore());
        ++revision;
        server.draining = false;
        recordServer(directory, server, now);
        for (const auto &slice : manager.table.slices)
            highest = std::max(highest, slice.fence);
        answerAll(order_result::Done);
        answerAll(order_result::Done);
    }
    CHECK(makeOwnershipManager(limits, late, {2, revision + 1}, now).table.nextFence > highest);
}

// Guards against fences that are assigned twice: the store had lost the table with the highest one.
TEST_CASE_METHOD(manager_after_a_restore, "fences_after_a_restore_are_above_all_earlier_ones",
                 "[ownership]")
{
    const auto highest = manager.table.slices.back().fence + 1'000'000;
    drain(first);
    for (const auto &slice : manager.table.slices) {
        if (slice.phase == slice_phase::Pending)
            CHECK(slice.fence > highest);
    }
    ownership_table empty;
    empty.service = "ledger";
    CHECK(makeOwnershipManager(limits, empty, {3, 1}, now).table.nextFence
          > manager.table.nextFence);
}

TEST_CASE_METHOD(
        manager_after_a_restore,
        "owner_that_confirms_its_grant_after_the_previous_leader_ended_is_replaced_at_once",
        "[ownership]")
{
    answerAll(order_result::Done);
    now = previousLeaderEnds + limits.callTimeout;
    answerAll(order_result::Done);
    drain(first);
    answerAll(order_result::Done);
    CHECK(countGrantsTo("s2") == 4);
}

// Guards against a second holder: the store had lost the decision that replaced the owner.
TEST_CASE_METHOD(manager_after_a_restore,
                 "owner_that_a_lost_decision_replaced_is_granted_after_lost_grants_have_expired",
                 "[ownership]")
{
    answerAll(order_result::FenceTooLow);
    for (; now < lostGrantEnds(); now += 500ms) {
        planAndStore();
        CHECK(countGrantsTo("s1") == 0);
    }
    now = lostGrantEnds() + 1s;
    REQUIRE(planAndStore());
    CHECK(countGrantsTo("s1") == 4);
}

TEST_CASE_METHOD(manager_after_a_restore,
                 "table_that_may_lack_any_decision_grants_nothing_until_lost_grants_have_expired",
                 "[ownership]")
{
    recover(lost_decisions::Any);
    recordServerRemoved(directory, "s1", now);
    for (; now < lostGrantEnds(); now += 500ms) {
        planAndStore();
        for (const auto &order : orders())
            CHECK(order.kind == order_kind::Release);
    }
    now = lostGrantEnds() + 1s;
    planAndStore();
    answerAll(order_result::Done);
    CHECK(countSlicesOf("s2") == 8);
}

// Guards against a second holder: the next leader did not know that its predecessor was waiting.
TEST_CASE_METHOD(manager_after_a_restore, "leader_after_one_that_waited_waits_again", "[ownership]")
{
    drain(first);
    manager = recoverOwnershipManager(limits, manager.table, {2, 60}, manager.table.lost, now + 3s,
                                      now);
    const auto ends = now + 3s + longestHold(limits);
    CHECK_FALSE(settleLostDecisions(manager, ends - 1s));
    for (; now < ends; now += 500ms) {
        for (const auto &order : orders()) {
            if (order.server.id == "s2")
                CHECK(order.fence < firstFenceOf({2, 0}));
            recordOrderResult(manager, order, order_result::Done, {}, now);
        }
    }
    now = ends;
    CHECK(countGrantsTo("s2") > 0);
    CHECK(settleLostDecisions(manager, now));
    CHECK(manager.table.lost == lost_decisions::None);
}

TEST_CASE("keys_under_crashes_and_leader_changes_have_at_most_one_owner", "[ownership][seeds]")
{
    ownership_faults faults;
    faults.crashes = true;
    faults.leaderChanges = true;
    checkSeeds(60, faults);
}

TEST_CASE("keys_under_lost_and_late_orders_have_at_most_one_owner", "[ownership][seeds]")
{
    ownership_faults faults;
    faults.lostAnswers = 0.2;
    faults.lateOrders = 0.5;
    faults.drains = true;
    faults.vanishing = true;
    checkSeeds(60, faults);
}

TEST_CASE("keys_under_entries_of_another_writer_have_at_most_one_owner", "[ownership][seeds]")
{
    ownership_faults faults;
    faults.crashes = true;
    faults.leaderChanges = true;
    faults.foreignEntries = true;
    checkSeeds(60, faults);
}

TEST_CASE("keys_under_all_faults_at_once_have_at_most_one_owner", "[ownership][seeds]")
{
    ownership_faults faults{0.15, 0.5, true, true, true, true, true};
    faults.foreignEntries = true;
    checkSeeds(120, faults);
}

// Guards against a second holder: after the store had come back from an older copy, keys were
// granted from its table, with fences that had been assigned before.
TEST_CASE("keys_under_returns_of_the_store_from_a_copy_have_at_most_one_owner",
          "[ownership][seeds]")
{
    ownership_faults faults;
    faults.leaderChanges = true;
    faults.drains = true;
    faults.movingLoad = true;
    faults.restores = true;
    checkSeeds(120, faults);
}

// Guards against owners and fences of an earlier era: writes without an answer were carried out
// after the store had given out their expected revisions again.
TEST_CASE("keys_under_late_writes_of_earlier_eras_have_at_most_one_owner", "[ownership][seeds]")
{
    ownership_faults faults;
    faults.leaderChanges = true;
    faults.drains = true;
    faults.movingLoad = true;
    faults.restores = true;
    faults.lateWrites = true;
    checkSeeds(80, faults);
}

TEST_CASE("keys_under_late_writes_of_earlier_eras_and_all_faults_have_at_most_one_owner",
          "[ownership][seeds]")
{
    checkSeeds(80, {0.15, 0.5, true, true, true, true, true, true, true});
}

TEST_CASE("keys_under_returns_of_the_store_and_all_faults_have_at_most_one_owner",
          "[ownership][seeds]")
{
    checkSeeds(120, {0.15, 0.5, true, true, true, true, true, true});
}

} // namespace parsleyloft
