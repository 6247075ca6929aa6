// What the hosts keep in the platform's store under their own prefix, as stored values.
#pragma once

#include "core/error.h"
#include "decisions/membership.h"
#include "decisions/ownership_updates.h"
#include "generated/shared_state.pb.h"

namespace parsleyloft {

auto encodeOwnership(const ownership_table &table) -> std::string;

// Fails with InvalidInput when the slices don't cover the keys once.
auto decodeOwnership(const std::string &value) -> result<ownership_table>;

auto toWire(const ownership_change &change) -> wire::OwnershipChange;

// Fails with InvalidInput for a slice that is out of its range.
auto fromWire(const wire::OwnershipChange &message) -> result<ownership_change>;

auto encodeLeader(const leader_claim &claim) -> std::string;
auto decodeLeader(const std::string &value) -> result<leader_claim>;

auto encodeMember(const member_host &host) -> std::string;
auto decodeMember(const host_id &id, const std::string &value) -> result<member_host>;

} // namespace parsleyloft
