// An entry of another writer names a service that the configuration doesn't name, and the address
// of a server that holds keys.
#include "stand/site.hh"

#include <iostream>

using namespace review;

namespace {

constexpr auto calmBefore = std::chrono::seconds(5);
constexpr auto watched = std::chrono::seconds(14);
constexpr double requestsPerSecond = 60;

auto deploymentOptions() -> site_options
{
    site_options options;
    options.zones = {"sued-a", "sued-b", "sued-c"};
    for (int index = 0; index < 6; ++index) {
        const auto &zone = options.zones[static_cast<std::size_t>(index) % options.zones.size()];
        options.servers.push_back({"i-board-" + std::to_string(index), "board", zone, true});
    }
    for (int index = 0; index < 3; ++index)
        options.servers.push_back({"i-plan-" + std::to_string(index), "plan",
                                   options.zones[static_cast<std::size_t>(index)]});
    return options;
}

} // namespace

auto main(int count, char **values) -> int
{
    openRecord(count > 1 ? values[1] : "record.txt");
    site deployment(deploymentOptions());
    awaitServing(deployment);
    record("all keys are held");
    std::size_t breaches = 0;
    {
        load callers(deployment, requestsPerSecond, "/board/1");
        owner_watch watch(deployment);
        std::this_thread::sleep_for(calmBefore);
        if (!isOff("TROUBLE")) {
            auto other = review::server();
            other.options = deployment.servers.front()->options;
            other.options.service = "board-metrics";
            other.address = deployment.servers.front()->address;
            other.born = deployment.servers.front()->born + 1000;
            record("another writer writes servers/metrics-0: " + serverEntry(other));
            putItem(deployment.store, "servers/metrics-0", serverEntry(other));
        }
        std::this_thread::sleep_for(watched);
        const std::lock_guard guard(watch.lock);
        breaches = watch.breaches.size();
    }
    record(std::to_string(breaches) + " breaches");
    std::cout << breaches << " breaches of OWNER" << std::endl;
    finish(deployment, breaches > 0 ? 1 : 0);
}
