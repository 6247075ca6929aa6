// Selects the group that a request is sent to next: the group of its key's owner, or one of the
// service's groups.
#pragma once

#include "router/flow_state.h"

namespace parsleyloft {

struct group_choice
{
    group_id group;
    // The only server that may run the request, or empty.
    server_id owner;
    // The request may stay queued even when it cannot meet its target.
    bool acceptLate = false;
};

// The group of the owner of the request's key. Empty while the key has no usable owner.
auto findOwnerGroup(request_flow &flow) -> std::optional<group_choice>;

// How long a request may wait for its key's owner.
auto ownerWaitLimit(request_flow &flow) -> duration;

// The next group to request a permit from. Groups that can answer within the target come first; at
// last one group is asked to serve the request late. Sets anyUsable when the service has a usable
// server that has not failed the request.
auto chooseGroup(request_flow &flow, bool &anyUsable) -> std::optional<group_choice>;

// The group to request the permit of a second attempt from: one with a usable server beside the
// excluded ones, which has not just reported a wait.
auto chooseHedgeGroup(router_process &router, const service_name &service,
                      const std::vector<server_id> &excluded, std::uint64_t seed)
        -> tl::expected<group_id, hedge_denial>;

} // namespace parsleyloft
