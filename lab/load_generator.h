// An open-loop load of several classes, as the callers behind the platform's balancer.
#pragma once

#include "command/subcommand.h"
#include "core/identifiers.h"

namespace parsleyloft {

auto runLoad(const arguments &rest) -> exit_code;

} // namespace parsleyloft
