// The subcommand that checks a configuration of the platform before operators send it.
#pragma once

#include "command/subcommand.h"

namespace parsleyloft {

auto runConfiguration(const arguments &rest) -> exit_code;

} // namespace parsleyloft
