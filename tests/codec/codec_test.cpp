// Parsing and validation of settings, and messages that are equal after encoding and decoding.
#include "codec/assignment_codec.h"
#include "codec/configuration_codec.h"
#include "codec/json.h"
#include "codec/shared_state_codec.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct settings_text
{
    // Valid settings without optional fields.
    std::string text = R"({"host_id": "h1", "failure_domain": "a",
        "caller_address": "127.0.0.1:8000", "peer_address": "127.0.0.1:8001",
        "platform_address": "127.0.0.1:8002",
        "services": [{"name": "orders", "keyed": true, "shards": 8}]})";

    // Parses the settings with one part of the text replaced.
    auto readWith(const std::string &from, const std::string &to) const -> result<wire::Settings>
    {
        auto changed = text;
        changed.replace(changed.find(from), from.size(), to);
        return readSettings(changed);
    }
};

} // namespace

TEST_CASE_METHOD(settings_text, "valid_settings_get_their_defaults", "[settings]")
{
    const auto settings = readSettings(text);
    REQUIRE(settings);
    CHECK(settings->worker_threads() == 2);
    CHECK(settings->log_level() == "info");
}

TEST_CASE_METHOD(settings_text, "settings_with_an_unknown_field_are_rejected", "[settings]")
{
    const auto settings = readWith("\"host_id\"", "\"hots_id\"");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().detail.find("hots_id") != std::string::npos);
}

TEST_CASE_METHOD(settings_text, "invalid_settings_report_each_error_with_its_path", "[settings]")
{
    const auto settings = readWith("\"shards\": 8", "\"shards\": 0");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().detail == "services[0].shards: '0': must be from 1 to 65536\n");
    CHECK_FALSE(readWith("127.0.0.1:8000", "somewhere"));
    CHECK_FALSE(readWith("\"h1\"", "\"\""));
}

TEST_CASE("assignment_table_after_encoding_and_decoding_is_equal", "[codec]")
{
    assignment_table table;
    table.leaderTerm = {3, 4};
    table.version = 9;
    table.groups[{"orders", "a"}] = {"h1", {{3, 4}, 2}, assignment_phase::Releasing};
    table.shards["orders"] = {{"s1", {{3, 4}, 5}, assignment_phase::Held},
                              {"s2", {{2, 1}, 7}, assignment_phase::Vacant},
                              {"s1", {{3, 4}, 6}, assignment_phase::Held}};
    table.servers["s1"] = {"s1", "orders", "a", "127.0.0.1:1", 3, true};
    table.hosts["h1"] = {"h1", "a", "127.0.0.1:2", "127.0.0.1:3"};
    CHECK(fromWire(toWire(table)) == table);
}

// Guards against a second holder: a successor read one address for all owners with the same id and
// start, and sent the releases of keys that were granted elsewhere to it.
TEST_CASE("ownership_table_with_an_owner_at_two_addresses_is_equal_after_decoding", "[codec]")
{
    const key_owner held{"s1", 1000, {"10.0.0.1", 80}};
    const key_owner moved{"s1", 1000, {"10.0.0.9", 80}};
    ownership_table table;
    table.service = "ledger";
    table.nextFence = 3;
    table.slices = {{0, 99, slice_phase::Pending, moved, 2, held},
                    {100, lastKey, slice_phase::Held, held, 1, {}}};
    const auto decoded = decodeOwnership(encodeOwnership(table));
    REQUIRE(decoded);
    CHECK(decoded->slices == table.slices);
    const auto change = fromWire(toWire(
            ownership_change{"ledger", {1, 2}, 3, 4, 3, lost_decisions::None, table.slices}));
    REQUIRE(change);
    CHECK(change->slices == table.slices);
}

TEST_CASE("exchange_after_encoding_and_decoding_keeps_the_returned_stamp_with_its_leader",
          "[codec]")
{
    exchange_request request;
    request.report.host.id = "h1";
    request.report.serverReachable = {{"s1", false}};
    request.report.releasedShards = {{{"orders", 3}, {{1, 2}, 3}}};
    request.returnedStamp = returned_stamp{"h2", {1, 2}, fromMicroseconds(-5)};
    const auto decoded = fromWire(toWire(request));
    CHECK(decoded.returnedStamp == request.returnedStamp);
    CHECK(decoded.report.serverReachable == request.report.serverReachable);
    CHECK(decoded.report.releasedShards.size() == 1);
}

TEST_CASE("configuration_after_encoding_and_decoding_is_equal", "[codec]")
{
    configuration value;
    value.revision = 3;
    value.classes["order"] = {"order", "orders", 2s, false, 5};
    value.evacuatedDomains = {"a"};
    value.evacuatedHosts = {"h7"};
    CHECK(fromWire(toWire(value)) == value);
}

} // namespace parsleyloft
