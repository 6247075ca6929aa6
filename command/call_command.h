// The subcommand that sends one request as a caller.
#pragma once

#include "command/subcommand.h"

namespace parsleyloft {

auto runCall(const arguments &rest) -> exit_code;

} // namespace parsleyloft
