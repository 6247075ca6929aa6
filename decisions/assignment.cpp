// The assignment table of a region.
#include "decisions/assignment.h"

#include <tuple>

namespace parsleyloft {

namespace {

template<typename entry>
auto replaceIfNewer(entry &present, const entry &other) -> void
{
    if (std::tie(other.grantEpoch, other.phase) > std::tie(present.grantEpoch, present.phase))
        present = other;
}

} // namespace

auto isNewer(const assignment_table &left, const assignment_table &right) -> bool
{
    return std::tie(left.leaderTerm, left.version) > std::tie(right.leaderTerm, right.version);
}

auto mergeNewer(assignment_table &table, const assignment_table &other) -> void
{
    const auto newer = isNewer(other, table);
    for (const auto &[id, group] : other.groups)
        replaceIfNewer(table.groups[id], group);
    for (const auto &[service, shards] : other.shards) {
        auto &present = table.shards[service];
        if (present.size() < shards.size())
            present.resize(shards.size());
        for (std::size_t index = 0; index < shards.size(); ++index)
            replaceIfNewer(present[index], shards[index]);
    }
    for (const auto &[id, server] : other.servers) {
        if (newer || !table.servers.contains(id))
            table.servers[id] = server;
    }
    for (const auto &[id, host] : other.hosts) {
        if (newer || !table.hosts.contains(id))
            table.hosts[id] = host;
    }
}

auto findShard(const assignment_table &table, const shard_id &shard) -> const shard_assignment *
{
    const auto found = table.shards.find(shard.service);
    if (found == table.shards.end() || shard.index >= found->second.size())
        return nullptr;
    return &found->second[shard.index];
}

auto findGroupOfServer(const assignment_table &table, const server_id &server)
        -> std::optional<group_id>
{
    const auto found = table.servers.find(server);
    if (found == table.servers.end())
        return std::nullopt;
    return groupOf(found->second);
}

} // namespace parsleyloft
