// Processes that a test starts, the ports they may use, and waiting for what they do.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace parsleyloft {

// Claims a range of 100 ports, so that no two tests that run at once share one. Returns the
// first port and the socket that holds the claim.
auto claimPorts() -> std::pair<std::uint16_t, int>;

// Starts a program with its output and errors appended to the given files.
auto spawnProcess(const std::string &program, std::vector<std::string> arguments,
                  const std::string &outputPath, const std::string &errorPath) -> pid_t;

// Waits until the condition holds. Fails the test when it doesn't within a minute.
auto waitUntil(const std::string &what, const std::function<bool()> &condition) -> void;

} // namespace parsleyloft
