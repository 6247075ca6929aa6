// A server of a keyed service crashes and starts again under its id.
#include "stand/site.h"

#include <iostream>

using namespace review;

namespace {

constexpr auto calmBefore = std::chrono::seconds(4);
constexpr int crashes = 6;
constexpr auto down = std::chrono::milliseconds(1000);
constexpr auto calmAfter = std::chrono::seconds(13);
// A server writes to the store about every heartbeat, so first within this time.
constexpr int heartbeatMs = 1500;
constexpr double requestsPerSecond = 100;

auto deploymentOptions() -> site_options
{
    site_options options;
    options.zones = {"sued-a", "sued-b", "sued-c"};
    for (int index = 0; index < 12; ++index) {
        const auto &zone = options.zones[static_cast<std::size_t>(index) % options.zones.size()];
        options.servers.push_back({"i-board-" + std::to_string(index), "board", zone, true});
    }
    return options;
}

} // namespace

auto main() -> int
{
    openRecord(std::string(std::getenv("CASE_FOLDER")) + "/record.txt");
    site deployment(deploymentOptions());
    awaitServing(deployment);
    record("all keys are held");
    std::size_t breaches = 0;
    {
        load callers(deployment, requestsPerSecond, "/board/1");
        owner_watch watch(deployment);
        std::mt19937 random{std::random_device{}()};
        std::this_thread::sleep_for(calmBefore);
        for (std::size_t round = 0; round < crashes && breaches == 0; ++round) {
            if (!isOff("TROUBLE")) {
                crashServer(*deployment.servers[round]);
                std::this_thread::sleep_for(down);
                restartServer(deployment, round,
                              std::chrono::milliseconds(random() % heartbeatMs));
            }
            std::this_thread::sleep_for(calmAfter);
            const std::lock_guard guard(watch.lock);
            breaches = watch.breaches.size();
        }
    }
    record(std::to_string(breaches) + " breaches");
    std::cout << breaches << " breaches of OWNER" << std::endl;
    finish(deployment, breaches > 0 ? 1 : 0);
}
