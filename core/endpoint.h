// Network addresses of processes: IP address and port.
#pragma once

#include "core/error.h"

#include <compare>
#include <cstdint>
#include <string>

namespace parsleyloft {

struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;
};

// The text "ip:port".
auto formatEndpoint(const endpoint &address) -> std::string;

// Parses "ip:port". Fails with InvalidInput.
auto parseEndpoint(std::string_view text) -> result<endpoint>;

} // namespace parsleyloft
