// The subcommand that plays scenes.
#pragma once

#include "command/subcommand.h"

namespace parsleyloft {

auto runSceneCommand(const arguments &rest) -> exit_code;

} // namespace parsleyloft
