// Which group of a service a request without a key is sent to: the one of the host's own failure
// domain while its wait is short, then the better of two others.
//
// Load varies between failure domains. If all hosts used the group with the shortest reported wait,
// they would all run to the same one between two reports.
#pragma once

#include "core/names.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace parsleyloft {

struct group_option
{
    // In the host's own failure domain.
    bool isOwn = false;
    // The group refused this request.
    bool refused = false;
    // The wait that the group's queue host reported lately, if it did.
    std::optional<duration> expectedWait;
};

// The index of the group to request a permit from, so that the request is answered in the time left
// of its target. Returns nothing when no group is expected to do that. Hosts differ in the seed.
auto chooseGroupInTime(const std::vector<group_option> &groups, duration targetLeft,
                       std::uint64_t seed) -> std::optional<std::size_t>;

// The index of the group that serves the request late: the own one, unless another one, drawn at
// random, has a shorter wait. Returns nothing when there are no groups.
auto chooseLateGroup(const std::vector<group_option> &groups, std::uint64_t seed)
        -> std::optional<std::size_t>;

// What is left of a wait that was reported this long ago. Empty when the report says nothing more.
auto remainingWait(duration reported, duration age) -> std::optional<duration>;

} // namespace parsleyloft
