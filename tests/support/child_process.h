// Child processes of tests: port ranges for them, starting them, and waiting for conditions. Errors
// are exceptions, which fail the test.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace parsleyloft {

// A range of 100 ports. While it exists, tests that run at the same time use other ranges.
struct port_claim
{
    port_claim();
    ~port_claim();
    port_claim(const port_claim &) = delete;
    auto operator=(const port_claim &) -> port_claim & = delete;

    std::uint16_t firstPort = 0;
    // Bound to the last port, which holds the claim.
    int socket = -1;
};

// Starts a program with its output and errors appended to the given files.
auto spawnProcess(const std::string &program, std::vector<std::string> arguments,
                  const std::string &outputPath, const std::string &errorPath) -> pid_t;

// Waits until the condition is true. Throws after 60 seconds.
auto waitUntil(const std::string &what, const std::function<bool()> &condition) -> void;

} // namespace parsleyloft
