// Subcommands that read a settings file: serve and check.
#pragma once

#include "command/subcommand.h"

namespace parsleyloft {

auto runServe(const arguments &rest) -> exit_code;
auto runCheck(const arguments &rest) -> exit_code;

} // namespace parsleyloft
