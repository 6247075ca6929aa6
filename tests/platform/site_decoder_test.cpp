// Decoding of store entries: configurations, servers, and invalid entries of other writers.
#include "platform/site_decoder.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct server_entry
{
    auto decode() const -> result<server_record>
    {
        return decodeServer({"servers/i-7f", value, 5, false});
    }

    auto replace(const std::string &from, const std::string &to) -> void
    {
        const auto position = value.find(from);
        REQUIRE(position != std::string::npos);
        value.replace(position, from.size(), to);
    }

    std::string value = R"({"service":"orders","address":"10.1.0.9:8080","zone":"bole",)"
                        R"("version":"v1","slots":3,"state":"ready","warmup_left_ms":1500,)"
                        R"("seq":4,"born":1767225600123})";
};

} // namespace

TEST_CASE_METHOD(server_entry, "server_entry_is_decoded_into_its_record", "[decoder]")
{
    const auto record = decode();
    REQUIRE(record);
    CHECK(*record
          == server_record{
                  "i-7f", "orders", {"10.1.0.9", 8080}, "bole", 3, false, 1500ms, 1767225600123});
    replace("ready", "draining");
    CHECK(decode()->draining);
}

TEST_CASE_METHOD(server_entry, "server_entry_with_unknown_fields_is_accepted", "[decoder]")
{
    replace("\"seq\":4", "\"seq\":4,\"rack\":{\"row\":7}");
    CHECK(decode());
}

TEST_CASE_METHOD(server_entry, "server_entry_with_missing_or_invalid_field_is_rejected",
                 "[decoder]")
{
    SECTION("no_service")
    {
        replace("\"service\":\"orders\",", "");
    }
    SECTION("no_start_time")
    {
        replace(",\"born\":1767225600123", "");
    }
    SECTION("slots_of_another_type")
    {
        replace("\"slots\":3", "\"slots\":[3]");
    }
    SECTION("unknown_state")
    {
        replace("ready", "napping");
    }
    SECTION("address_without_port")
    {
        replace("10.1.0.9:8080", "10.1.0.9");
    }
    SECTION("no_json")
    {
        value = "\x01\x02";
    }
    CHECK_FALSE(decode());
}

TEST_CASE("configuration_is_decoded_with_splits_kinds_and_limits", "[decoder]")
{
    const auto decoded = decodeConfiguration(
            R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/x/",)"
            R"("kind":"safe","timeout_ms":1200,"target_ms":300,"priority":2,"max_attempts":2,)"
            R"("split":[{"service":"one","weight":90},{"service":"two","weight":10}]},)"
            R"({"name":"r2","host":"a.example","prefix":"/y/","kind":"unsafe","timeout_ms":800,)"
            R"("target_ms":400,"priority":1,"max_attempts":2,"service":"two"}],)"
            R"("services":[{"name":"one","cold_per_s":7.2,"warmup_s":3.0},)"
            R"({"name":"two","keyed":true}],"limits":{"max_header_bytes":16384,)"
            R"("max_body_bytes":1024,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    REQUIRE(decoded);
    CHECK(decoded->version == 7);
    REQUIRE(decoded->routes.size() == 2);
    CHECK(decoded->routes[0].kind == repeatability::Idempotent);
    CHECK(decoded->routes[0].services.size() == 2);
    CHECK(decoded->routes[1].kind == repeatability::AtMostOnce);
    CHECK(decoded->routes[1].timeout == 800ms);
    CHECK(decoded->services.at("one").coldPerSecond == 7.2);
    CHECK(decoded->services.at("two").keyed);
    CHECK(decoded->limits.idleTimeout == 15s);
}

TEST_CASE("configuration_with_an_unknown_kind_or_without_service_is_rejected", "[decoder]")
{
    CHECK_FALSE(decodeConfiguration(
            R"({"version":1,"routes":[{"name":"r","kind":"odd","service":"one"}]})"));
    CHECK_FALSE(decodeConfiguration(R"({"version":1,"routes":[{"name":"r","kind":"safe"}]})"));
    CHECK_FALSE(decodeConfiguration("{"));
}

TEST_CASE("evacuation_key_gives_its_domain", "[decoder]")
{
    CHECK(evacuatedDomain("op/evacuate/bole") == "bole");
    CHECK_FALSE(evacuatedDomain("op/config"));
}

} // namespace parsleyloft
