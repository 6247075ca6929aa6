// Calls on an entry host's operator interface, and their results as exit codes.
#pragma once

#include "command/exit_code.h"
#include "transport/http_message.h"

namespace parsleyloft {

// Sends one request and waits. Errors are those that the host answers, or Unreachable.
auto callHost(const std::string &address, http_request request) -> result<http_response>;

auto exitCodeOf(error_code code) -> exit_code;

// Prints the error to standard error and returns its exit code.
auto reportError(const error &failed) -> exit_code;

} // namespace parsleyloft
