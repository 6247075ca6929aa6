// Subcommands for operators: class, domain, host, status and dump.
#pragma once

#include "command/subcommand.h"

namespace parsleyloft {

auto runClass(const arguments &rest) -> exit_code;
auto runDomain(const arguments &rest) -> exit_code;
auto runHost(const arguments &rest) -> exit_code;
auto runStatus(const arguments &rest) -> exit_code;
auto runDump(const arguments &rest) -> exit_code;

} // namespace parsleyloft
