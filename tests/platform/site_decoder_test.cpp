// Decoding of store entries: configurations, servers, and invalid entries of other writers.
#include "platform/site_decoder.h"

#include <catch2/catch.hpp>
#include <optional>

namespace parsleyloft {

namespace {

struct server_entry
{
    auto decode() const -> result<server_record>
    {
        return decodeServer({"servers/i-7f", value, {0, 5}});
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
          == server_record{"i-7f",
                           "orders",
                           {"10.1.0.9", 8080},
                           "bole",
                           3,
                           false,
                           1500ms,
                           1767225600123,
                           4,
                           {0, 5}});
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

TEST_CASE_METHOD(server_entry, "server_entry_of_another_writer_names_no_server", "[decoder]")
{
    SECTION("nested_very_deeply")
    {
        replace("\"seq\":4", "\"seq\":" + std::string(20000, '[') + std::string(20000, ']'));
    }
    SECTION("unknown_field_nested_as_deeply_as_the_store_allows")
    {
        replace("\"seq\":4", "\"odd\":" + std::string(500000, '[') + std::string(500000, ']'));
    }
    SECTION("no_version")
    {
        replace("\"version\":\"v1\",", "");
    }
    SECTION("nested_very_deeply_and_broken_off")
    {
        replace("\"seq\":4", "\"seq\":" + std::string(200000, '{'));
    }
    SECTION("slots_beyond_any_server")
    {
        replace("\"slots\":3", "\"slots\":4294967295");
    }
    SECTION("slots_beyond_the_type")
    {
        replace("\"slots\":3", "\"slots\":99999999999999999999");
    }
    SECTION("slots_beyond_a_double")
    {
        replace("\"slots\":3", "\"slots\":1e999");
    }
    SECTION("slots_below_zero")
    {
        replace("\"slots\":3", "\"slots\":-3");
    }
    SECTION("start_time_beyond_the_type")
    {
        replace("1767225600123", "1e300");
    }
    SECTION("start_time_in_a_far_future")
    {
        replace("1767225600123", "9000000000000000");
    }
    SECTION("start_time_with_a_fraction")
    {
        replace("1767225600123", "1767225600123.5");
    }
    SECTION("warmup_beyond_the_clock")
    {
        replace("1500", "1e300");
    }
    SECTION("warmup_below_zero")
    {
        replace("1500", "-1");
    }
    SECTION("warmup_that_is_no_number")
    {
        replace("1500", "\"NaN\"");
    }
    SECTION("port_out_of_range")
    {
        replace("8080", "80800");
    }
    SECTION("port_zero")
    {
        replace("8080", "0");
    }
    SECTION("port_below_zero")
    {
        replace("8080", "-80");
    }
    SECTION("address_that_is_no_ip")
    {
        replace("10.1.0.9", "10.1.0.999");
    }
    SECTION("empty_service")
    {
        replace("\"orders\"", "\"\"");
    }
    SECTION("empty_zone")
    {
        replace("\"bole\"", "\"\"");
    }
    SECTION("null_state")
    {
        replace("\"ready\"", "null");
    }
    CHECK_FALSE(decode());
}

namespace {

struct stored_configuration
{
    auto decode() const -> result<decoded_configuration>
    {
        return decodeConfiguration(value, inForce ? &*inForce : nullptr);
    }

    // Replaces a part of the value, decodes it, and checks the number of its defects.
    auto decodeWith(const std::string &from, const std::string &to, std::size_t defects)
            -> site_configuration
    {
        const auto position = value.find(from);
        REQUIRE(position != std::string::npos);
        value.replace(position, from.size(), to);
        const auto decoded = decode();
        REQUIRE(decoded);
        CHECK(decoded->defects.size() == defects);
        return decoded->configuration;
    }

    // Keeps an earlier version, in which the first route and service have other values.
    auto keepEarlierVersion() -> void
    {
        auto earlier = decode()->configuration;
        earlier.version = 6;
        earlier.routes[0].timeout = 700ms;
        earlier.routes[0].services = {{"old", 1}};
        earlier.services.at("one").coldPerSecond = 5;
        earlier.services.at("one").keyed = true;
        earlier.limits.idleTimeout = 9s;
        inForce = std::move(earlier);
    }

    std::optional<site_configuration> inForce;
    std::string value =
            R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/x/",)"
            R"("kind":"safe","timeout_ms":1200,"target_ms":300,"priority":2,"max_attempts":2,)"
            R"("split":[{"service":"one","weight":90},{"service":"two","weight":10}]},)"
            R"({"name":"r2","host":"a.example","prefix":"/y/","kind":"unsafe","timeout_ms":800,)"
            R"("target_ms":400,"priority":1,"max_attempts":2,"service":"two"}],)"
            R"("services":[{"name":"one","cold_per_s":7.2,"warmup_s":3.0},)"
            R"({"name":"two","keyed":true}],"limits":{"max_header_bytes":16384,)"
            R"("max_body_bytes":1024,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
};

} // namespace

TEST_CASE_METHOD(stored_configuration, "configuration_is_decoded_with_splits_kinds_and_limits",
                 "[decoder]")
{
    const auto found = decode();
    REQUIRE(found);
    CHECK(found->defects.empty());
    const auto &decoded = found->configuration;
    CHECK(decoded.version == 7);
    REQUIRE(decoded.routes.size() == 2);
    CHECK(decoded.routes[0].kind == repeatability::Idempotent);
    CHECK(decoded.routes[0].services.size() == 2);
    CHECK(decoded.routes[1].kind == repeatability::AtMostOnce);
    CHECK(decoded.routes[1].timeout == 800ms);
    CHECK(decoded.services.at("one").coldPerSecond == 7.2);
    CHECK(decoded.services.at("two").keyed);
    CHECK(decoded.limits.idleTimeout == 15s);
}

TEST_CASE_METHOD(stored_configuration, "download_route_is_idempotent", "[decoder]")
{
    const auto decoded = decodeWith("\"safe\"", "\"download\"", 0);
    CHECK(decoded.routes[0].kind == repeatability::Idempotent);
}

TEST_CASE_METHOD(stored_configuration, "route_of_an_unknown_kind_runs_at_most_once", "[decoder]")
{
    keepEarlierVersion();
    const auto decoded = decodeWith("\"safe\"", "\"odd\"", 1);
    REQUIRE(decoded.routes.size() == 2);
    CHECK(decoded.routes[0].kind == repeatability::AtMostOnce);
    CHECK(decoded.routes[0].timeout == 1200ms);
}

TEST_CASE_METHOD(stored_configuration, "malformed_field_of_a_route_affects_that_field_only",
                 "[decoder]")
{
    SECTION("without_an_earlier_version_the_safest_value_is_used")
    {
        SECTION("kind_of_another_type")
        {
            const auto decoded = decodeWith("\"safe\"", "[1]", 1);
            CHECK(decoded.routes[0].kind == repeatability::AtMostOnce);
        }
        SECTION("no_kind")
        {
            const auto decoded = decodeWith("\"kind\":\"safe\",", "", 1);
            CHECK(decoded.routes[0].kind == repeatability::AtMostOnce);
        }
        SECTION("timeout_of_another_type")
        {
            CHECK(decodeWith("1200", "\"soon\"", 1).routes[0].timeout == 1h);
        }
        SECTION("timeout_below_zero")
        {
            CHECK(decodeWith("1200", "-1200", 1).routes[0].timeout == 1h);
        }
        SECTION("timeout_beyond_the_clock")
        {
            CHECK(decodeWith("1200", "1e300", 1).routes[0].timeout == 1h);
        }
        SECTION("no_target")
        {
            CHECK(decodeWith("\"target_ms\":300,", "", 1).routes[0].target == 1200ms);
        }
        SECTION("priority_beyond_any")
        {
            CHECK(decodeWith("\"priority\":2", "\"priority\":4000000000", 1).routes[0].priority
                  == 100);
        }
        SECTION("priority_below_zero")
        {
            CHECK(decodeWith("\"priority\":2", "\"priority\":-1", 1).routes[0].priority == 100);
        }
        SECTION("attempts_of_another_type")
        {
            CHECK(decodeWith("\"max_attempts\":2", "\"max_attempts\":{}", 1).routes[0].maxAttempts
                  == 1);
        }
        SECTION("weight_below_zero")
        {
            const auto decoded = decodeWith("\"weight\":90", "\"weight\":-90", 1);
            CHECK(decoded.routes[0].services == std::vector<weighted_service>{{"two", 10}});
        }
        SECTION("weight_of_zero_is_no_defect")
        {
            const auto decoded = decodeWith("\"weight\":90", "\"weight\":0", 0);
            CHECK(decoded.routes[0].services == std::vector<weighted_service>{{"two", 10}});
        }
        SECTION("no_service")
        {
            const auto decoded = decodeWith(",\"service\":\"two\"", "", 1);
            REQUIRE(decoded.routes.size() == 2);
            CHECK(decoded.routes[1].services.empty());
        }
        SECTION("prefix_without_slash")
        {
            const auto decoded = decodeWith("\"/x/\"", "\"x\"", 1);
            REQUIRE(decoded.routes.size() == 1);
            CHECK(decoded.routes[0].name == "r2");
        }
        SECTION("no_name")
        {
            const auto decoded = decodeWith("\"name\":\"r1\",", "", 0);
            CHECK(decoded.routes[0].name == "a.example/x/");
        }
        SECTION("route_that_is_no_object")
        {
            const auto decoded = decodeWith("\"routes\":[", "\"routes\":[17,", 1);
            CHECK(decoded.routes.size() == 2);
        }
    }
    SECTION("with_an_earlier_version_its_value_is_kept")
    {
        keepEarlierVersion();
        SECTION("timeout_of_another_type")
        {
            const auto decoded = decodeWith("1200", "\"soon\"", 1);
            CHECK(decoded.routes[0].timeout == 700ms);
            CHECK(decoded.routes[0].services.size() == 2);
        }
        SECTION("split_of_another_type")
        {
            const auto position = value.find("\"split\":[");
            value.insert(position + 8, "3,\"unused\":");
            const auto decoded = decode();
            REQUIRE(decoded);
            CHECK(decoded->configuration.routes[0].services
                  == std::vector<weighted_service>{{"old", 1}});
        }
        SECTION("host_of_another_type")
        {
            const auto decoded = decodeWith("\"a.example\"", "{}", 1);
            REQUIRE(decoded.routes.size() == 2);
            CHECK(decoded.routes[0] == inForce->routes[0]);
        }
    }
}

TEST_CASE_METHOD(stored_configuration, "malformed_field_of_a_service_or_limit_keeps_the_old_value",
                 "[decoder]")
{
    SECTION("cold_rate_of_another_type")
    {
        keepEarlierVersion();
        const auto decoded = decodeWith("7.2", "\"few\"", 1);
        CHECK(decoded.services.at("one").coldPerSecond == 5);
        CHECK(decoded.services.at("one").warmup == 3s);
    }
    SECTION("cold_rate_below_zero")
    {
        CHECK(decodeWith("7.2", "-7.2", 1).services.at("one").coldPerSecond == 0);
    }
    SECTION("warmup_beyond_the_clock")
    {
        CHECK(decodeWith("3.0", "1e300", 1).services.at("one").warmup == 0us);
    }
    SECTION("keyed_of_another_type")
    {
        keepEarlierVersion();
        const auto decoded = decodeWith("\"cold_per_s\"", "\"keyed\":\"maybe\",\"cold_per_s\"", 1);
        CHECK(decoded.services.at("one").keyed);
    }
    SECTION("service_without_a_name")
    {
        CHECK(decodeWith("\"name\":\"one\"", "\"name\":[]", 1).services.size() == 1);
    }
    SECTION("limit_of_another_type")
    {
        keepEarlierVersion();
        CHECK(decodeWith("15000", "\"long\"", 1).limits.idleTimeout == 9s);
    }
    SECTION("limit_of_zero")
    {
        CHECK(decodeWith("16384", "0", 1).limits.maxHeaderBytes == 16384);
    }
    SECTION("limit_beyond_memory")
    {
        CHECK(decodeWith("1024", "4000000000", 0).limits.maxBodyBytes == 64U * 1024 * 1024);
    }
}

TEST_CASE_METHOD(stored_configuration, "configuration_without_a_usable_version_is_rejected",
                 "[decoder]")
{
    SECTION("no_version")
    {
        value.replace(value.find("\"version\":7,"), 12, "");
    }
    SECTION("version_of_another_type")
    {
        value.replace(value.find("7"), 1, "[7]");
    }
    SECTION("version_below_zero")
    {
        value.replace(value.find("7"), 1, "-7");
    }
    SECTION("no_object")
    {
        value = "[]";
    }
    SECTION("broken_off")
    {
        value = "{";
    }
    SECTION("nested_too_deeply")
    {
        value.replace(value.find("7"), 1, std::string(5000, '['));
    }
    CHECK_FALSE(decode());
}

TEST_CASE("evacuation_key_gives_its_domain", "[decoder]")
{
    CHECK(evacuatedDomain("op/evacuate/bole") == "bole");
    CHECK_FALSE(evacuatedDomain("op/config"));
}

} // namespace parsleyloft
