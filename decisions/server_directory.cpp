// The backend servers that may be used, by what they announced and what operators took out.
#include "decisions/server_directory.h"

#include <algorithm>

namespace parsleyloft {

auto recordServer(server_directory &directory, const server_record &record, instant now) -> bool
{
    auto &latest = directory.latestLife[record.id];
    if (latest > record.startTimeMs)
        return false;
    latest = record.startTimeMs;
    auto &latestAt = directory.latestLifeAt[record.address];
    latestAt = std::max(latestAt, record.startTimeMs);
    auto &entry = directory.entries[record.id];
    const auto changed = entry.record != record || entry.vanishedAt;
    entry = {record, now, std::nullopt};
    if (changed)
        ++directory.version;
    return changed;
}

auto recordServerRemoved(server_directory &directory, const server_id &id, instant now) -> bool
{
    const auto found = directory.entries.find(id);
    if (found == directory.entries.end())
        return false;
    if (now < directory.graceEnds) {
        if (!found->second.vanishedAt)
            found->second.vanishedAt = now;
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
    const auto dropped =
            std::erase_if(directory.entries, [](const auto &one) { return one.second.vanishedAt; });
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
    return !entry.record.draining && !directory.evacuated.contains(entry.record.domain);
}

auto coldUntil(const directory_entry &entry) -> instant
{
    return entry.heardAt + entry.record.warmupLeft;
}

auto isSuperseded(const server_directory &directory, const server_id &id, std::int64_t startTimeMs,
                  const endpoint &address) -> bool
{
    const auto life = directory.latestLife.find(id);
    if (life != directory.latestLife.end() && life->second > startTimeMs)
        return true;
    const auto there = directory.latestLifeAt.find(address);
    return there != directory.latestLifeAt.end() && there->second > startTimeMs;
}

} // namespace parsleyloft
