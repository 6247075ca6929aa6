// Entries in the store under the ids of servers that hold keys, which these servers did not write.
#include "support/owner_breaches.h"
#include "support/site_cluster.h"

#include <catch2/catch.hpp>

#include <thread>

namespace parsleyloft {

namespace {

constexpr std::uint32_t lastKeyOfSite = 65535;
constexpr std::uint32_t keyStep = 4099;
constexpr duration observed = 5s;
constexpr duration pollInterval = 20ms;
// Later than the starts of all servers of the fixture.
constexpr std::int64_t laterStartMs = 5000;

struct key_holders : site_cluster
{
    auto statusOf(int host, std::uint32_t key) -> unsigned
    {
        caller_call call;
        call.target = "/ledger/entry";
        call.key = key;
        call.waitMs = 300;
        return callHost(*this, host, call).response.status;
    }

    // Sends requests for keys of all ranges through both hosts, whether or not they are served.
    auto requestKeysFor(duration length) -> void
    {
        const auto end = monotonicNow() + length;
        for (std::uint32_t count = 0; monotonicNow() < end; ++count) {
            statusOf(static_cast<int>(count % 2), count * keyStep % (lastKeyOfSite + 1));
            std::this_thread::sleep_for(pollInterval);
        }
    }

    auto areKeysServed(int host) -> bool
    {
        for (std::uint32_t key = 0; key <= lastKeyOfSite; key += keyStep) {
            if (statusOf(host, key) != 200)
                return false;
        }
        return true;
    }
};

} // namespace

// Guards against a second holder: a server at another address, under the id of a server that holds
// keys and still runs, was sent its release, and its answer counted as the holder's.
TEST_CASE_METHOD(key_holders, "second_server_under_an_owners_id_leaves_its_keys_with_one_owner")
{
    REQUIRE(countHeldKeys(servers.at("ledger-a")) > 0);
    const auto port = static_cast<std::uint16_t>(ports.firstPort + 20);
    auto started = startKeyedServer(*workers, *store, {"127.0.0.1", port},
                                    {"ledger-a", "ledger", "a", 3, true, laterStartMs});
    REQUIRE(started);
    servers["ledger-a-again"] = *started;
    requestKeysFor(observed);
    for (const auto *other : {"ledger-a-again", "ledger-b"})
        CHECK(ownerBreaches(heldKeys(servers.at("ledger-a")), heldKeys(servers.at(other)))
              == std::set<std::string>());
    waitUntil("all keys are served", [&] { return areKeysServed(0) && areKeysServed(1); });
}

// Guards against a second holder of the keys of a server that holds them: its release was sent to
// the address in the entry, where another server refused it, which counted as the holder's end.
TEST_CASE_METHOD(key_holders,
                 "entry_with_another_address_under_an_owners_key_leaves_its_keys_with_one_owner")
{
    // One of a service that the configuration does not name, and one by which the server drains.
    const auto isNamed = GENERATE(false, true);
    const std::string addressee = GENERATE("ledger-b", "shop-b");
    const std::string service = isNamed ? "ledger" : "ledger-metrics";
    INFO("an entry of service " << service << " with the address of " << addressee);
    REQUIRE(countHeldKeys(servers.at("ledger-a")) > 0);
    putServerEntry(*store, {"ledger-a", service, "a", 3, true, laterStartMs},
                   addressOf(servers.at(addressee)), 1, isNamed);
    requestKeysFor(observed);
    CHECK(ownerBreaches(heldKeys(servers.at("ledger-a")), heldKeys(servers.at("ledger-b")))
          == std::set<std::string>());
    waitUntil("all keys are served", [&] { return areKeysServed(0) && areKeysServed(1); });
}

} // namespace parsleyloft
