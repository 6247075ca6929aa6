// Calls to an entry host's operator interface, and exit codes for their errors.
#pragma once

#include "command/exit_code.h"
#include "transport/http_message.h"

namespace parsleyloft {

// Sends one request and waits for the response. Errors: those that the host reports, Unreachable
// when nothing was sent, Unknown when the response was lost.
auto callHost(const std::string &address, http_request request) -> result<http_response>;

auto exitCodeOf(error_code code) -> exit_code;

// Prints the error to standard error and returns its exit code.
auto reportError(const error &error) -> exit_code;

} // namespace parsleyloft
