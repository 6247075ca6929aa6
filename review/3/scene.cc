// A server of a keyed service is cut off from the store, crashes behind the cut and starts again
// under its id. Its entry is written when the cut has healed.
#include "stand/site.hh"

#include <iostream>

using namespace review;

namespace {

constexpr auto calmBefore = std::chrono::seconds(4);
constexpr int cuts = 5;
// The server cannot reach the store for this long. It crashes meanwhile and starts again.
constexpr auto cutFor = std::chrono::milliseconds(3000);
constexpr auto crashAfter = std::chrono::milliseconds(300);
constexpr auto down = std::chrono::milliseconds(700);
constexpr auto calmAfter = std::chrono::seconds(13);
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
        for (std::size_t round = 0; round < cuts && breaches == 0; ++round) {
            if (!isOff("TROUBLE")) {
                record(deployment.servers[round]->options.id + " is cut off from the store");
                std::this_thread::sleep_for(crashAfter);
                crashServer(*deployment.servers[round]);
                std::this_thread::sleep_for(down);
                restartServer(deployment, round, cutFor - crashAfter - down);
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
