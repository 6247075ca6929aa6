// Network addresses of processes: the text "ip:port".
#include "core/endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace parsleyloft {

namespace {

auto isIpAddress(const std::string &text) -> bool
{
    in6_addr parsed{};
    return ::inet_pton(AF_INET, text.c_str(), &parsed) == 1
            || ::inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

} // namespace

auto formatEndpoint(const endpoint &address) -> std::string
{
    return address.address + ":" + std::to_string(address.port);
}

auto parseEndpoint(std::string_view text) -> result<endpoint>
{
    const auto colon = text.rfind(':');
    const auto invalid = [&] {
        return failure(error_code::InvalidInput,
                       "'" + std::string(text) + "' is not of the form ip:port");
    };
    if (colon == std::string_view::npos || colon == 0)
        return invalid();
    const auto digits = text.substr(colon + 1);
    endpoint parsed;
    parsed.address = std::string(text.substr(0, colon));
    const auto end = digits.data() + digits.size();
    const auto [stop, failed] = std::from_chars(digits.data(), end, parsed.port);
    if (failed != std::errc() || stop != end || parsed.port == 0 || !isIpAddress(parsed.address))
        return invalid();
    return parsed;
}

} // namespace parsleyloft
