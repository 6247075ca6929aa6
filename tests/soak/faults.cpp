// The faults of a scene, drawn ahead from the seed.
#include "soak/faults.h"

#include <algorithm>

namespace parsleyloft {

namespace {

struct fault_series
{
    scene_trouble trouble = scene_trouble::Hosts;
    int targets = 0;
    std::vector<fault_kind> kinds;
    // Pauses between the beginnings of faults, and their lengths, in milliseconds.
    int minPauseMs = 0;
    int maxPauseMs = 0;
    int minLengthMs = 0;
    int maxLengthMs = 0;
};

auto seriesOf(const scene_options &options) -> std::vector<fault_series>
{
    const auto servers = options.plainServers + options.keyedServers;
    constexpr int domains = 2;
    return {
            {scene_trouble::Hosts,
             options.hosts,
             {fault_kind::FreezeHost, fault_kind::KillHost, fault_kind::TerminateHost},
             800,
             4000,
             100,
             3000},
            {scene_trouble::Servers,
             servers,
             {fault_kind::FreezeServer, fault_kind::KillServer, fault_kind::KillServer,
              fault_kind::RestartServer, fault_kind::DrainServer, fault_kind::ReplaceServer},
             300,
             1500,
             50,
             1500},
            {scene_trouble::Links,
             countLinks(options),
             {fault_kind::DelayLink, fault_kind::SilenceLinkToServer,
              fault_kind::SilenceLinkToClient, fault_kind::ResetLink, fault_kind::CutLink},
             100,
             900,
             50,
             2500},
            {scene_trouble::Moves, domains, {fault_kind::EvacuateDomain}, 3000, 6000, 1000, 2500},
    };
}

auto drawSeries(const scene_options &options, const fault_series &series,
                std::vector<scheduled_fault> &drawn) -> void
{
    auto random = makeRandom(options.seed, nameIn(sceneTroubleNames, series.trouble));
    const auto drawTime = [&](int first, int last) -> duration {
        return std::chrono::milliseconds(drawBetween(random, first, last));
    };
    auto at = drawTime(series.minPauseMs, series.maxPauseMs);
    while (at < options.length) {
        scheduled_fault fault;
        fault.at = at;
        fault.length = drawTime(series.minLengthMs, series.maxLengthMs);
        const auto last = static_cast<int>(series.kinds.size()) - 1;
        fault.kind = series.kinds[static_cast<std::size_t>(drawBetween(random, 0, last))];
        fault.target = drawBetween(random, 0, series.targets - 1);
        drawn.push_back(fault);
        at += drawTime(series.minPauseMs, series.maxPauseMs);
    }
}

} // namespace

auto countLinks(const scene_options &options) -> int
{
    return options.hosts + options.plainServers + options.keyedServers + 1;
}

auto drawFaults(const scene_options &options) -> std::vector<scheduled_fault>
{
    std::vector<scheduled_fault> drawn;
    for (const auto &series : seriesOf(options)) {
        if (plays(options, series.trouble) && series.targets > 0)
            drawSeries(options, series, drawn);
    }
    std::stable_sort(drawn.begin(), drawn.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    return drawn;
}

auto toText(const scheduled_fault &fault) -> std::string
{
    return "at_ms=" + std::to_string(toMilliseconds(fault.at))
            + " fault=" + std::string(nameIn(faultKindNames, fault.kind))
            + " target=" + std::to_string(fault.target)
            + " length_ms=" + std::to_string(toMilliseconds(fault.length));
}

} // namespace parsleyloft
