// The directory of backend servers.
#include "decisions/server_directory.h"

#include <algorithm>

namespace parsleyloft {

auto recordServer(server_directory &directory, const server_record &record, instant now) -> bool
{
    auto &latest = directory.latestStartById[record.id];
    if (latest > record.startTimeMs)
        return false;
    latest = record.startTimeMs;
    auto &latestAtAddress = directory.latestStartByAddress[record.address];
    latestAtAddress = std::max(latestAtAddress, record.startTimeMs);
    auto &entry = directory.entries[record.id];
    const auto changed = entry.record != record || entry.missingSince;
    entry = {record, now, std::nullopt};
    if (changed)
        ++directory.version;
    return changed;
}

auto recordServerLeaving(server_directory &directory, const server_id &id, std::int64_t startTimeMs)
        -> bool
{
    const auto known = directory.leavingStartById.find(id);
    if (known != directory.leavingStartById.end() && known->second >= startTimeMs)
        return false;
    directory.leavingStartById[id] = startTimeMs;
    ++directory.version;
    return true;
}

auto recordServerRemoved(server_directory &directory, const server_id &id, instant now) -> bool
{
    const auto found = directory.entries.find(id);
    if (found == directory.entries.end())
        return false;
    if (now < directory.graceEnds) {
        if (!found->second.missingSince)
            found->second.missingSince = now;
        return false;
    }
    directory.entries.erase(found);
    ++directory.version;
    return true;
}

auto retainServers(server_directory &directory, const std::set<server_id> &present, instant now)
        -> bool
{
    std::vector<server_id> gone;
    for (const auto &[id, entry] : directory.entries) {
        if (!present.contains(id))
            gone.push_back(id);
    }
    auto changed = false;
    for (const auto &id : gone)
        changed = recordServerRemoved(directory, id, now) || changed;
    return changed;
}

auto startGracePeriod(server_directory &directory, duration grace, instant now) -> void
{
    directory.graceEnds = now + grace;
}

auto dropMissing(server_directory &directory, instant now) -> bool
{
    if (now < directory.graceEnds)
        return false;
    const auto dropped = std::erase_if(directory.entries,
                                       [](const auto &item) { return item.second.missingSince; });
    if (dropped > 0)
        ++directory.version;
    return dropped > 0;
}

auto setEvacuated(server_directory &directory, std::set<domain_id> domains) -> bool
{
    if (directory.evacuated == domains)
        return false;
    directory.evacuated = std::move(domains);
    ++directory.version;
    return true;
}

auto isUsable(const server_directory &directory, const directory_entry &entry) -> bool
{
    const auto leaving = directory.leavingStartById.find(entry.record.id);
    if (leaving != directory.leavingStartById.end() && leaving->second == entry.record.startTimeMs)
        return false;
    return !entry.record.draining && !directory.evacuated.contains(entry.record.domain);
}

auto coldUntil(const directory_entry &entry) -> instant
{
    return entry.receivedAt + entry.record.warmupLeft;
}

auto isSuperseded(const server_directory &directory, const server_id &id, std::int64_t startTimeMs,
                  const endpoint &address) -> bool
{
    const auto byId = directory.latestStartById.find(id);
    if (byId != directory.latestStartById.end() && byId->second > startTimeMs)
        return true;
    const auto byAddress = directory.latestStartByAddress.find(address);
    return byAddress != directory.latestStartByAddress.end() && byAddress->second > startTimeMs;
}

} // namespace parsleyloft
