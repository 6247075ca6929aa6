// Tests of the server directory: incarnations, draining, outages of the store.
#include "decisions/server_directory.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct directory_with_a_server
{
    directory_with_a_server() { recordServer(directory, record, now); }

    auto has(const server_id &id) const -> bool { return directory.entries.contains(id); }

    instant now{1h};
    server_record record{"s1", "orders", {"10.0.0.1", 80}, "a", 3, false, 0us, 1000};
    server_directory directory;
};

} // namespace

TEST_CASE_METHOD(directory_with_a_server, "announcement_that_only_aged_is_no_change", "[directory]")
{
    CHECK_FALSE(recordServer(directory, record, now + 1s));
    record.draining = true;
    CHECK(recordServer(directory, record, now + 2s));
    CHECK_FALSE(isUsable(directory, directory.entries.at("s1")));
}

// A server may state in its answers that it leaves while its entry still says that it is ready, for
// instance because it cannot reach the store.
TEST_CASE_METHOD(directory_with_a_server, "server_that_stated_to_leave_stays_unusable",
                 "[directory]")
{
    const auto version = directory.version;
    CHECK(recordServerLeaving(directory, "s1", record.startTimeMs));
    CHECK(directory.version > version);
    CHECK_FALSE(isUsable(directory, directory.entries.at("s1")));
    SECTION("when_the_statement_is_repeated")
    {
        CHECK_FALSE(recordServerLeaving(directory, "s1", record.startTimeMs));
    }
    SECTION("when_it_is_announced_as_ready_again")
    {
        record.warmupLeft = 5ms;
        recordServer(directory, record, now + 1s);
        CHECK_FALSE(isUsable(directory, directory.entries.at("s1")));
    }
    SECTION("when_its_entry_was_removed_in_between")
    {
        recordServerRemoved(directory, "s1", now);
        record.sequence = 1;
        recordServer(directory, record, now + 1s);
        CHECK_FALSE(isUsable(directory, directory.entries.at("s1")));
    }
    SECTION("until_a_later_incarnation_starts")
    {
        record.startTimeMs = 2000;
        recordServer(directory, record, now + 1s);
        CHECK(isUsable(directory, directory.entries.at("s1")));
        // A late answer of the earlier incarnation.
        CHECK_FALSE(recordServerLeaving(directory, "s1", 1000));
        CHECK(isUsable(directory, directory.entries.at("s1")));
    }
}

TEST_CASE_METHOD(directory_with_a_server, "earlier_incarnation_of_a_server_is_ignored",
                 "[directory]")
{
    record.startTimeMs = 900;
    record.draining = true;
    CHECK_FALSE(recordServer(directory, record, now));
    CHECK(isUsable(directory, directory.entries.at("s1")));
}

namespace {

// A server that was started after its clock had been set back, or after an entry of another writer
// with a later start.
struct directory_with_an_earlier_start : directory_with_a_server
{
    directory_with_an_earlier_start()
    {
        record.startTimeMs = 2000;
        record.sequence = 7;
        record.position = {1, 50};
        recordServer(directory, record, now);
        restarted.startTimeMs = 1500;
        restarted.sequence = 1;
        restarted.position = {1, 60};
    }

    auto isUsed(const server_record &wanted) const -> bool
    {
        const auto found = directory.entries.find(wanted.id);
        return found != directory.entries.end() && found->second.record == wanted
                && isUsable(directory, found->second);
    }

    server_record restarted = record;
};

} // namespace

// Guards against a server that is out of use for good, while its predecessor counts as running.
TEST_CASE_METHOD(directory_with_an_earlier_start,
                 "incarnation_written_later_in_the_same_era_is_used_though_it_started_earlier",
                 "[directory]")
{
    SECTION("after_the_other_one")
    {
        CHECK(recordServer(directory, restarted, now + 1s));
        CHECK(isUsed(restarted));
        CHECK(isSuperseded(directory, "s1", record.startTimeMs));
        CHECK_FALSE(isSuperseded(directory, "s1", restarted.startTimeMs));
    }
    SECTION("as_it_was_before_the_other_one")
    {
        recordServer(directory, restarted, now + 1s);
        record.position = {1, 70};
        CHECK(recordServer(directory, record, now + 2s));
        CHECK(isUsed(record));
        CHECK_FALSE(isSuperseded(directory, "s1", record.startTimeMs));
        CHECK(isSuperseded(directory, "s1", restarted.startTimeMs));
    }
    SECTION("after_the_removal_of_the_other_one")
    {
        recordServerRemoved(directory, "s1", now + 1s);
        CHECK(recordServer(directory, restarted, now + 1s));
        CHECK(isUsed(restarted));
    }
    SECTION("until_its_answers_state_that_it_leaves")
    {
        recordServerLeaving(directory, "s1", record.startTimeMs);
        recordServer(directory, restarted, now + 1s);
        CHECK(isUsed(restarted));
        CHECK(recordServerLeaving(directory, "s1", restarted.startTimeMs));
        CHECK_FALSE(isUsed(restarted));
    }
}

// Revisions are given out again in a new era, and an older copy may list an earlier incarnation.
TEST_CASE_METHOD(directory_with_an_earlier_start,
                 "incarnation_that_started_earlier_is_ignored_in_a_later_era", "[directory]")
{
    restarted.position = {2, 60};
    CHECK_FALSE(recordServer(directory, restarted, now + 1s));
    CHECK(isUsed(record));
    // The store lists the server's own entry again.
    record.position = {2, 61};
    CHECK_FALSE(recordServer(directory, record, now + 1s));
    CHECK(directory.latestById.at("s1").startTimeMs == record.startTimeMs);
}

TEST_CASE_METHOD(directory_with_a_server, "removed_entry_is_dropped_at_once", "[directory]")
{
    CHECK(recordServerRemoved(directory, "s1", now));
    CHECK_FALSE(has("s1"));
}

TEST_CASE_METHOD(directory_with_a_server,
                 "entry_that_expired_in_an_outage_is_kept_until_the_grace_period_ends",
                 "[directory]")
{
    startGracePeriod(directory, 2s, now);
    CHECK_FALSE(recordServerRemoved(directory, "s1", now + 100ms));
    CHECK(has("s1"));
    CHECK_FALSE(dropMissing(directory, now + 1s));
    SECTION("a_server_that_announces_itself_again_stays")
    {
        recordServer(directory, record, now + 1s);
        CHECK_FALSE(dropMissing(directory, now + 2s));
        CHECK(has("s1"));
    }
    SECTION("a_server_that_stays_missing_is_removed")
    {
        CHECK(dropMissing(directory, now + 2s));
        CHECK_FALSE(has("s1"));
    }
}

TEST_CASE_METHOD(directory_with_a_server, "evacuated_domain_has_no_usable_server", "[directory]")
{
    CHECK(setEvacuated(directory, "a", true));
    CHECK_FALSE(setEvacuated(directory, "a", true));
    CHECK_FALSE(isUsable(directory, directory.entries.at("s1")));
    CHECK(setEvacuated(directory, "a", false));
    CHECK(isUsable(directory, directory.entries.at("s1")));
}

namespace {

// An entry that another writer has put in the place of the server's own.
struct directory_with_an_entry_of_another_writer : directory_with_a_server
{
    directory_with_an_entry_of_another_writer()
    {
        record.sequence = 7;
        recordServer(directory, record, now);
        replaceServices(directory, {"orders"});
        odd.service = "bakery";
        odd.address = {"10.0.0.9", 80};
        odd.startTimeMs = 9000;
        odd.warmupLeft = 3s;
        removed = setAsideEntry(directory, odd, now + 1s);
    }

    auto isUsed(const server_record &wanted) const -> bool
    {
        const auto found = directory.entries.find(wanted.id);
        return found != directory.entries.end() && found->second.record == wanted
                && isUsable(directory, found->second);
    }

    server_record odd = record;
    bool removed = false;
};

} // namespace

// Guards against the loss of a server for good, and of its keys to a second holder.
TEST_CASE_METHOD(directory_with_an_entry_of_another_writer,
                 "entry_of_an_unknown_service_says_nothing_about_the_server_of_its_id",
                 "[directory]")
{
    CHECK_FALSE(isServiceKnown(directory, odd));
    CHECK_FALSE(isSuperseded(directory, "s1", record.startTimeMs));
    CHECK(directory.latestById.at("s1").address == record.address);
    // The store does not list the server, which may have left.
    CHECK(removed);
    CHECK_FALSE(has("s1"));
    SECTION("and_the_server_is_used_again_when_it_announces_itself")
    {
        record.sequence = 8;
        CHECK(isServiceKnown(directory, record));
        CHECK(recordServer(directory, record, now + 2s));
        CHECK(isUsed(record));
        CHECK_FALSE(replaceServices(directory, {"bakery", "orders"}));
        CHECK(isUsed(record));
    }
    SECTION("and_is_recorded_as_received_once_a_configuration_names_the_service")
    {
        CHECK_FALSE(setAsideEntry(directory, odd, now + 2s));
        CHECK(replaceServices(directory, {"bakery", "orders"}));
        CHECK(isUsed(odd));
        CHECK(coldUntil(directory.entries.at("s1")) == now + 4s);
        CHECK(isSuperseded(directory, "s1", record.startTimeMs));
        CHECK(directory.setAside.empty());
    }
    SECTION("and_is_forgotten_when_it_is_removed")
    {
        CHECK_FALSE(recordServerRemoved(directory, "s1", now + 2s));
        CHECK_FALSE(replaceServices(directory, {"bakery", "orders"}));
        CHECK_FALSE(has("s1"));
    }
    SECTION("and_is_forgotten_when_a_listing_lacks_it")
    {
        CHECK_FALSE(retainServers(directory, {}, now + 2s));
        CHECK_FALSE(replaceServices(directory, {"bakery", "orders"}));
        CHECK_FALSE(has("s1"));
    }
}

// Servers' entries may be read before the configuration.
TEST_CASE("entries_read_before_the_configuration_are_used_once_it_is_known", "[directory]")
{
    const server_record record{"s1", "orders", {"10.0.0.1", 80}, "a", 3, false, 0us, 1000};
    server_directory directory;
    REQUIRE_FALSE(isServiceKnown(directory, record));
    setAsideEntry(directory, record, instant{1h});
    CHECK(directory.entries.empty());
    CHECK(replaceServices(directory, {"orders"}));
    CHECK(isUsable(directory, directory.entries.at("s1")));
}

// Requests that began under an earlier configuration may still be sent to the server.
TEST_CASE_METHOD(directory_with_a_server,
                 "server_that_drains_is_unusable_if_its_service_was_removed", "[directory]")
{
    replaceServices(directory, {"orders"});
    replaceServices(directory, {});
    record.draining = true;
    REQUIRE(isServiceKnown(directory, record));
    recordServer(directory, record, now + 1s);
    CHECK_FALSE(isUsable(directory, directory.entries.at("s1")));
}

TEST_CASE_METHOD(directory_with_a_server,
                 "incarnation_is_superseded_by_a_later_one_with_its_id_alone", "[directory]")
{
    CHECK_FALSE(isSuperseded(directory, "s1", 1000));
    SECTION("the_same_id_restarted")
    {
        record.startTimeMs = 2000;
        recordServer(directory, record, now);
        CHECK(isSuperseded(directory, "s1", 1000));
    }
    // Guards against the end of a running server by an entry that any writer can make.
    SECTION("another_entry_with_its_address")
    {
        recordServer(directory, {"s2", "ledger", record.address, "a", 3, false, 0us, 2000}, now);
        CHECK_FALSE(isSuperseded(directory, "s1", 1000));
    }
    SECTION("a_later_incarnation_that_was_removed_too")
    {
        record.startTimeMs = 2000;
        recordServer(directory, record, now);
        recordServerRemoved(directory, "s1", now);
        CHECK(isSuperseded(directory, "s1", 1000));
    }
    SECTION("a_removed_entry_is_not_superseded")
    {
        recordServerRemoved(directory, "s1", now);
        CHECK_FALSE(isSuperseded(directory, "s1", 1000));
    }
}

TEST_CASE_METHOD(directory_with_a_server, "cold_time_counts_from_the_receipt_of_the_announcement",
                 "[directory]")
{
    record.warmupLeft = 3s;
    recordServer(directory, record, now + 1s);
    CHECK(coldUntil(directory.entries.at("s1")) == now + 4s);
}

TEST_CASE_METHOD(directory_with_a_server, "cold_time_is_not_prolonged_by_a_repeated_entry",
                 "[directory]")
{
    record.warmupLeft = 3s;
    recordServer(directory, record, now);
    CHECK_FALSE(recordServer(directory, record, now + 2s));
    CHECK(coldUntil(directory.entries.at("s1")) == now + 3s);
}

// The store may come back from an older copy, in which a server that drains is still ready.
TEST_CASE_METHOD(directory_with_a_server, "older_entry_of_a_draining_server_is_ignored",
                 "[directory]")
{
    record.sequence = 7;
    record.draining = true;
    recordServer(directory, record, now);
    const auto version = directory.version;
    record.sequence = 5;
    record.draining = false;
    CHECK(isOutdated(directory, record));
    CHECK_FALSE(recordServer(directory, record, now + 1s));
    CHECK_FALSE(isUsable(directory, directory.entries.at("s1")));
    CHECK(directory.version == version);
    SECTION("a_later_announcement_is_accepted")
    {
        record.sequence = 8;
        CHECK(recordServer(directory, record, now + 2s));
        CHECK(isUsable(directory, directory.entries.at("s1")));
    }
    SECTION("a_later_incarnation_is_accepted")
    {
        record.startTimeMs = 2000;
        record.sequence = 1;
        CHECK_FALSE(isOutdated(directory, record));
        CHECK(recordServer(directory, record, now + 2s));
        CHECK(isUsable(directory, directory.entries.at("s1")));
    }
}

// The store may come back from an older copy, in which a server that has left is still listed.
TEST_CASE_METHOD(directory_with_a_server, "older_entry_of_a_removed_server_is_not_used",
                 "[directory]")
{
    record.sequence = 7;
    recordServer(directory, record, now);
    recordServerRemoved(directory, "s1", now);
    CHECK(isOutdated(directory, record));
    CHECK_FALSE(recordServer(directory, record, now));
    CHECK_FALSE(has("s1"));
    CHECK_FALSE(dropMissing(directory, now + confirmationTime - 1ms));
    CHECK_FALSE(has("s1"));
    SECTION("unless_it_announces_itself_again")
    {
        record.sequence = 8;
        CHECK(recordServer(directory, record, now + 1s));
        CHECK(isUsable(directory, directory.entries.at("s1")));
        CHECK_FALSE(dropMissing(directory, now + confirmationTime));
    }
    SECTION("unless_the_store_keeps_listing_it")
    {
        retainServers(directory, {"s1"}, now + 1s);
        CHECK(dropMissing(directory, now + confirmationTime));
        CHECK(isUsable(directory, directory.entries.at("s1")));
        CHECK_FALSE(isOutdated(directory, record));
    }
    SECTION("when_the_store_removes_it_too")
    {
        recordServerRemoved(directory, "s1", now + 1s);
        CHECK_FALSE(dropMissing(directory, now + confirmationTime));
        CHECK_FALSE(has("s1"));
    }
    SECTION("when_a_later_listing_lacks_it")
    {
        retainServers(directory, {}, now + 1s);
        CHECK_FALSE(dropMissing(directory, now + confirmationTime));
        CHECK_FALSE(has("s1"));
    }
}

// In a grace period a missing entry shows no departure, so the older entry shows that it is listed.
TEST_CASE_METHOD(directory_with_a_server, "older_entry_of_a_missing_server_ends_its_absence",
                 "[directory]")
{
    record.sequence = 7;
    record.slots = 5;
    recordServer(directory, record, now);
    startGracePeriod(directory, 2s, now);
    recordServerRemoved(directory, "s1", now);
    record.sequence = 5;
    record.slots = 3;
    CHECK(recordServer(directory, record, now + 1s));
    CHECK_FALSE(dropMissing(directory, now + 2s));
    CHECK(directory.entries.at("s1").record.slots == 5);
}

// The store may come back from an older copy, which lacks an evacuation. The operator writes it
// again.
TEST_CASE_METHOD(directory_with_a_server,
                 "evacuation_missing_from_an_older_copy_is_kept_for_a_while", "[directory]")
{
    setEvacuated(directory, "a", true);
    startEvacuationGrace(directory, 2s, now);
    CHECK_FALSE(retainEvacuated(directory, {}, now));
    CHECK_FALSE(isUsable(directory, directory.entries.at("s1")));
    CHECK_FALSE(dropMissing(directory, now + 2s - 1ms));
    SECTION("and_stays_when_it_is_written_again")
    {
        CHECK_FALSE(setEvacuated(directory, "a", true));
        CHECK_FALSE(dropMissing(directory, now + 2s));
        CHECK_FALSE(isUsable(directory, directory.entries.at("s1")));
    }
    SECTION("and_ends_when_it_is_not")
    {
        CHECK(dropMissing(directory, now + 2s));
        CHECK(isUsable(directory, directory.entries.at("s1")));
    }
    SECTION("and_ends_when_the_operator_ends_it")
    {
        CHECK(setEvacuated(directory, "a", false));
        CHECK(isUsable(directory, directory.entries.at("s1")));
    }
}

TEST_CASE_METHOD(directory_with_a_server, "evacuation_that_is_no_longer_listed_ends", "[directory]")
{
    setEvacuated(directory, "a", true);
    CHECK(retainEvacuated(directory, {"b"}, now));
    CHECK(directory.evacuated == std::set<domain_id>{"b"});
}

} // namespace parsleyloft
