// Reads and validates the settings of a routing host.
#pragma once

#include "core/error.h"
#include "generated/host_settings.pb.h"

namespace parsleyloft {

// Fails with InvalidInput. The detail has one line for each invalid field: its path, its value and
// what is allowed.
auto readHostSettings(const std::string &text) -> result<wire::HostSettings>;

} // namespace parsleyloft
