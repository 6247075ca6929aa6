// Generates an open-loop load of several classes, as from callers behind the platform's load
// balancer.
#pragma once

#include "command/subcommand.h"
#include "core/identifiers.h"

namespace parsleyloft {

auto runLoad(const arguments &args) -> exit_code;

} // namespace parsleyloft
