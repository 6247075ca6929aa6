// Child processes of tests: port ranges for them, starting them, and waiting for conditions.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace parsleyloft {

// Claims a range of 100 ports, so that tests that run at the same time use different ports. Returns
// the first port and a socket bound to the last one, which holds the claim.
auto claimPorts() -> std::pair<std::uint16_t, int>;

// Starts a program with its output and errors appended to the given files.
auto spawnProcess(const std::string &program, std::vector<std::string> arguments,
                  const std::string &outputPath, const std::string &errorPath) -> pid_t;

// Waits until the condition is true. Fails the test after 60 seconds.
auto waitUntil(const std::string &what, const std::function<bool()> &condition) -> void;

} // namespace parsleyloft
