// HTTP requests and responses as plain structs, apart from the library that carries them.
#include "transport/http_message.h"

#include <algorithm>
#include <cctype>

namespace parsleyloft {

auto no_case_less::operator()(std::string_view left, std::string_view right) const -> bool
{
    const auto lower = [](unsigned char one) { return std::tolower(one); };
    return std::lexicographical_compare(
            left.begin(), left.end(), right.begin(), right.end(),
            [&](unsigned char a, unsigned char b) { return lower(a) < lower(b); });
}

auto headerOf(const header_map &headers, std::string_view name) -> std::string
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

auto queryOf(std::string_view target, std::string_view name) -> std::string
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos)
        return {};
    auto rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const auto part = rest.substr(0, rest.find('&'));
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name)
            return equals == std::string_view::npos ? "" : std::string(part.substr(equals + 1));
        rest = part.size() < rest.size() ? rest.substr(part.size() + 1) : std::string_view();
    }
    return {};
}

auto pathOf(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

} // namespace parsleyloft
