// The subcommand that runs a routing host on the platform.
#pragma once

#include "command/subcommand.h"

namespace parsleyloft {

auto runRoute(const arguments &rest) -> exit_code;

} // namespace parsleyloft
