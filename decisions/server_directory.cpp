// The directory of backend servers.
#include "decisions/server_directory.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// An announcement with the same content has a sequence number of its own.
auto hasSameContent(const server_record &left, server_record right) -> bool
{
    right.sequence = left.sequence;
    right.position = left.position;
    return left == right;
}

auto isRemoved(const server_directory &directory, const server_record &record) -> bool
{
    const auto removed = directory.removed.find(record.id);
    return removed != directory.removed.end() && removed->second.startTimeMs == record.startTimeMs
            && removed->second.sequence >= record.sequence;
}

auto isReplaced(const server_directory &directory, const server_record &record) -> bool
{
    const auto known = directory.entries.find(record.id);
    return known != directory.entries.end()
            && known->second.record.startTimeMs == record.startTimeMs
            && known->second.record.sequence > record.sequence;
}

// The store may hold the same announcement at another position after its return from a copy.
auto isSameAnnouncement(const server_record &left, const server_record &right) -> bool
{
    return left.sequence == right.sequence && hasSameContent(left, right);
}

// Its remaining cold time counts from the first receipt.
auto isRepeated(const server_directory &directory, const server_record &record) -> bool
{
    const auto known = directory.entries.find(record.id);
    return known != directory.entries.end() && isSameAnnouncement(known->second.record, record);
}

// Clocks that start times are taken from may be set back, but within one era the store's positions
// only rise.
auto isOfEarlierIncarnation(const server_incarnation &latest, const server_record &record) -> bool
{
    const auto hasPositions = latest.position.revision != 0 && record.position.revision != 0;
    if (hasPositions && latest.position.era == record.position.era)
        return record.position < latest.position;
    return record.startTimeMs < latest.startTimeMs;
}

auto setEntry(server_directory &directory, const directory_entry &next) -> bool
{
    auto &entry = directory.entries[next.record.id];
    const auto changed = entry.missingSince || !hasSameContent(entry.record, next.record);
    entry = next;
    if (changed)
        ++directory.version;
    return changed;
}

// The store lists the server, but with no later announcement than the one known.
auto clearMissing(server_directory &directory, const server_id &id) -> bool
{
    auto &entry = directory.entries.at(id);
    if (!entry.missingSince)
        return false;
    entry.missingSince.reset();
    ++directory.version;
    return true;
}

auto eraseEntry(server_directory &directory, const server_id &id) -> void
{
    const auto &record = directory.entries.at(id).record;
    directory.removed[id] = {record.startTimeMs, record.sequence};
    directory.entries.erase(id);
    ++directory.version;
}

auto acceptConfirmed(server_directory &directory, instant now) -> bool
{
    std::vector<directory_entry> confirmed;
    std::erase_if(directory.unconfirmed, [&](const auto &item) {
        if (now < item.second.receivedAt + confirmationTime)
            return false;
        confirmed.push_back(item.second);
        return true;
    });
    for (const auto &entry : confirmed) {
        directory.removed.erase(entry.record.id);
        setEntry(directory, entry);
    }
    return !confirmed.empty();
}

auto dropUnconfirmedEvacuations(server_directory &directory, instant now) -> bool
{
    if (directory.unconfirmedEvacuations.empty() || now < directory.evacuationGraceEnds)
        return false;
    for (const auto &domain : directory.unconfirmedEvacuations)
        directory.evacuated.erase(domain);
    directory.unconfirmedEvacuations.clear();
    ++directory.version;
    return true;
}

} // namespace

auto isOutdated(const server_directory &directory, const server_record &record) -> bool
{
    return isRemoved(directory, record) || isReplaced(directory, record);
}

auto isServiceKnown(const server_directory &directory, const server_record &record) -> bool
{
    const auto known = directory.entries.find(record.id);
    return directory.services.contains(record.service)
            || (known != directory.entries.end() && known->second.record.service == record.service);
}

auto setAsideEntry(server_directory &directory, const server_record &record, instant now) -> bool
{
    const auto known = directory.setAside.find(record.id);
    const auto repeated =
            known != directory.setAside.end() && isSameAnnouncement(known->second.record, record);
    // Its remaining cold time counts from the first receipt.
    const auto receivedAt = repeated ? known->second.receivedAt : now;
    const auto removed = recordServerRemoved(directory, record.id, now);
    directory.setAside[record.id] = {record, receivedAt, std::nullopt};
    return removed;
}

auto replaceServices(server_directory &directory, std::set<service_name> services) -> bool
{
    directory.services = std::move(services);
    std::vector<directory_entry> known;
    for (const auto &[id, entry] : directory.setAside) {
        if (directory.services.contains(entry.record.service))
            known.push_back(entry);
    }
    auto changed = false;
    for (const auto &entry : known)
        changed = recordServer(directory, entry.record, entry.receivedAt) || changed;
    return changed;
}

auto recordServer(server_directory &directory, const server_record &record, instant now) -> bool
{
    directory.setAside.erase(record.id);
    auto &latest = directory.latestById[record.id];
    if (isOfEarlierIncarnation(latest, record))
        return false;
    auto &replaced = directory.replacedStartsById[record.id];
    if (latest.startTimeMs != 0)
        replaced.insert(latest.startTimeMs);
    replaced.erase(record.startTimeMs);
    latest = {record.startTimeMs, record.address, record.position};
    if (isReplaced(directory, record) || isRepeated(directory, record))
        return clearMissing(directory, record.id);
    if (isRemoved(directory, record)) {
        directory.unconfirmed.try_emplace(record.id, directory_entry{record, now, std::nullopt});
        return false;
    }
    directory.unconfirmed.erase(record.id);
    directory.removed.erase(record.id);
    return setEntry(directory, {record, now, std::nullopt});
}

auto recordServerLeaving(server_directory &directory, const server_id &id, std::int64_t startTimeMs)
        -> bool
{
    if (!directory.leavingStartsById[id].insert(startTimeMs).second)
        return false;
    ++directory.version;
    return true;
}

auto recordServerRemoved(server_directory &directory, const server_id &id, instant now) -> bool
{
    directory.unconfirmed.erase(id);
    directory.setAside.erase(id);
    const auto found = directory.entries.find(id);
    if (found == directory.entries.end())
        return false;
    if (now < directory.graceEnds) {
        if (!found->second.missingSince)
            found->second.missingSince = now;
        return false;
    }
    eraseEntry(directory, id);
    return true;
}

auto retainServers(server_directory &directory, const std::set<server_id> &present, instant now)
        -> bool
{
    const auto isUnlisted = [&](const auto &item) { return !present.contains(item.first); };
    std::erase_if(directory.unconfirmed, isUnlisted);
    std::erase_if(directory.setAside, isUnlisted);
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

auto startEvacuationGrace(server_directory &directory, duration grace, instant now) -> void
{
    directory.evacuationGraceEnds = now + grace;
}

auto dropMissing(server_directory &directory, instant now) -> bool
{
    auto changed = acceptConfirmed(directory, now);
    changed = dropUnconfirmedEvacuations(directory, now) || changed;
    if (now < directory.graceEnds)
        return changed;
    std::vector<server_id> missing;
    for (const auto &[id, entry] : directory.entries) {
        if (entry.missingSince)
            missing.push_back(id);
    }
    for (const auto &id : missing)
        eraseEntry(directory, id);
    return changed || !missing.empty();
}

auto setEvacuated(server_directory &directory, const domain_id &domain, bool evacuated) -> bool
{
    directory.unconfirmedEvacuations.erase(domain);
    const auto changed = evacuated ? directory.evacuated.insert(domain).second
                                   : directory.evacuated.erase(domain) > 0;
    if (changed)
        ++directory.version;
    return changed;
}

auto retainEvacuated(server_directory &directory, std::set<domain_id> listed, instant now) -> bool
{
    directory.unconfirmedEvacuations.clear();
    if (now < directory.evacuationGraceEnds) {
        for (const auto &domain : directory.evacuated) {
            if (listed.insert(domain).second)
                directory.unconfirmedEvacuations.insert(domain);
        }
    }
    if (directory.evacuated == listed)
        return false;
    directory.evacuated = std::move(listed);
    ++directory.version;
    return true;
}

auto isUsable(const server_directory &directory, const directory_entry &entry) -> bool
{
    const auto leaving = directory.leavingStartsById.find(entry.record.id);
    if (leaving != directory.leavingStartsById.end()
        && leaving->second.contains(entry.record.startTimeMs))
        return false;
    return !entry.record.draining && !directory.evacuated.contains(entry.record.domain);
}

auto coldUntil(const directory_entry &entry) -> instant
{
    return entry.receivedAt + entry.record.warmupLeft;
}

auto isSuperseded(const server_directory &directory, const server_id &id, std::int64_t startTimeMs)
        -> bool
{
    const auto latest = directory.latestById.find(id);
    return latest != directory.latestById.end()
            && (latest->second.startTimeMs > startTimeMs
                || directory.replacedStartsById.at(id).contains(startTimeMs));
}

} // namespace parsleyloft
