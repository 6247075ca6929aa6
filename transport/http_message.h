// HTTP requests and responses as plain structs, apart from the library that carries them.
#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace parsleyloft {

struct no_case_less
{
    using is_transparent = void;
    auto operator()(std::string_view left, std::string_view right) const -> bool;
};

using header_map = std::map<std::string, std::string, no_case_less>;

struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    header_map headers;
    std::string body;
};

struct http_response
{
    unsigned status = 200;
    header_map headers;
    std::string body;
    // Test stand-ins only: closes the connection after so many bytes of the body, or
    // before any byte when the status is 0.
    std::optional<std::size_t> cutAfter;
};

// The value of a header, or an empty string.
auto headerOf(const header_map &headers, std::string_view name) -> std::string;

// The value of a parameter in the target's query, or an empty string.
auto queryOf(std::string_view target, std::string_view name) -> std::string;

// The target without its query.
auto pathOf(std::string_view target) -> std::string_view;

} // namespace parsleyloft
