// A young deployment: the store is away for a moment and comes back from a copy of before the
// hosts' first table of owners. Meanwhile hosts are added.
#include "stand/site.hh"

#include <iostream>

using namespace review;

namespace {

constexpr auto calmBefore = std::chrono::milliseconds(5000);
constexpr auto away = std::chrono::milliseconds(3000);
constexpr auto addedAfter = std::chrono::milliseconds(700);
constexpr int addedHosts = 3;
constexpr auto watched = std::chrono::seconds(16);
constexpr double requestsPerSecond = 120;

auto deploymentOptions() -> site_options
{
    site_options options;
    options.zones = {"sued-a", "sued-b", "sued-c"};
    for (int index = 0; index < 12; ++index) {
        const auto &zone = options.zones[static_cast<std::size_t>(index) % options.zones.size()];
        options.servers.push_back({"i-board-" + std::to_string(index), "board", zone, true});
    }
    options.spareHosts = addedHosts;
    return options;
}

} // namespace

auto main(int count, char **values) -> int
{
    openRecord(count > 1 ? values[1] : "record.txt");
    site deployment(deploymentOptions());
    // The hosts have written nothing yet.
    const auto copy = copyStore(deployment.store);
    awaitServing(deployment);
    record("all keys are held");
    std::size_t breaches = 0;
    {
        load callers(deployment, requestsPerSecond, "/board/1");
        owner_watch watch(deployment);
        std::this_thread::sleep_for(calmBefore);
        // TROUBLE=0 leaves out the drill, not the planned work. ADD=0 leaves out the planned work.
        const auto drill = !isOff("TROUBLE");
        if (drill) {
            record("the store is away");
            setStoreFaults(deployment.store, {.unavailable = true});
        }
        std::this_thread::sleep_for(addedAfter);
        for (auto &entry : deployment.hosts) {
            if (entry.process == 0 && !isOff("ADD"))
                startHost(entry);
        }
        std::this_thread::sleep_for(away - addedAfter);
        if (drill) {
            restoreStore(deployment.store, copy);
            setStoreFaults(deployment.store, {});
            record("the store is back, from a copy that is "
                   + std::to_string(static_cast<int>(secondsSinceStart())) + " s old");
        }
        std::this_thread::sleep_for(watched);
        const std::lock_guard guard(watch.lock);
        breaches = watch.breaches.size();
    }
    record(std::to_string(breaches) + " breaches");
    std::cout << breaches << " breaches of OWNER" << std::endl;
    finish(deployment, breaches > 0 ? 1 : 0);
}
