// Where the host that received a request sends it: the group of servers and the host that may send
// to them.
#pragma once

#include "core/configuration.h"
#include "core/outcome.h"
#include "decisions/planner.h"

namespace parsleyloft {

struct route_target
{
    group_id group;
    // The host that may send to the group, or empty when none is known.
    host_id holder;
    // The owner of the key's shard; empty for a service without keys.
    server_id owner;
    shard_index shard = 0;
};

// The last known load and failure of a group.
struct group_hint
{
    // The length of the holder's queue when it last answered.
    std::uint32_t queued = 0;
    instant failedAt{};
};

struct routing_view
{
    const assignment_table &table;
    const configuration &config;
    const std::vector<service_info> &services;
    const std::map<group_id, group_hint> &hints;
    domain_id ownDomain;
};

struct route_request
{
    const class_of_work &work;
    std::string_view key;
    // The group where this request has just failed, if any.
    std::optional<group_id> avoid;
    std::uint64_t seed = 0;
};

auto findService(const std::vector<service_info> &services, const service_name &name)
        -> const service_info *;

// The target of a request, or the reason why there is none.
auto chooseTarget(const routing_view &view, const route_request &request, instant now)
        -> tl::expected<route_target, reason>;

} // namespace parsleyloft
