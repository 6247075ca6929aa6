// Where an entry host sends a request: the group of servers and the host that may send.
#pragma once

#include "core/configuration.h"
#include "core/outcome.h"
#include "decisions/planner.h"

namespace parsleyloft {

struct route_target
{
    group_id group;
    // The host that may send, or empty when none is known.
    host_id holder;
    // The owner of the key's shard; empty for a service without keys.
    server_id owner;
    shard_index shard = 0;
};

struct group_hint
{
    // Requests that waited at the holder when it last answered.
    std::uint32_t queued = 0;
    instant failedAt{};
};

struct routing_view
{
    const assignment_table &table;
    const configuration &wanted;
    const std::vector<service_info> &services;
    const std::map<group_id, group_hint> &hints;
    domain_id ownDomain;
};

struct route_request
{
    const class_of_work &work;
    std::string_view key;
    // A group that just failed this request, if any.
    std::optional<group_id> avoid;
    std::uint64_t seed = 0;
};

auto findService(const std::vector<service_info> &services, const service_name &name)
        -> const service_info *;

// Chooses a target, or says why there is none.
auto chooseTarget(const routing_view &view, const route_request &request, instant now)
        -> tl::expected<route_target, reason>;

} // namespace parsleyloft
