// HTTP requests and responses as plain structs, independent of the HTTP library.
#include "transport/http_message.h"

#include <algorithm>
#include <cctype>

namespace parsleyloft {

auto isSameHeader(std::string_view left, std::string_view right) -> bool
{
    const auto same = [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), same);
}

auto header_list::operator[](std::string_view name) -> std::string &
{
    for (auto &field : fields) {
        if (isSameHeader(field.name, name))
            return field.value;
    }
    return fields.emplace_back(header_field{std::string(name), {}}).value;
}

auto onCallerDisconnect(const shared_caller_connection &caller, std::function<void()> callback)
        -> void
{
    if (!caller)
        return;
    {
        const std::lock_guard guard(caller->lock);
        if (!caller->disconnected) {
            caller->onDisconnect = std::move(callback);
            return;
        }
    }
    callback();
}

auto bodySize(const http_request &request) -> std::size_t
{
    return request.received ? request.received->size : request.body.size();
}

auto findHeader(const header_list &headers, std::string_view name) -> const std::string *
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto &field) {
        return isSameHeader(field.name, name);
    });
    return found == headers.end() ? nullptr : &found->value;
}

auto countHeaders(const header_list &headers, std::string_view name) -> std::size_t
{
    const auto count = std::count_if(headers.begin(), headers.end(), [&](const auto &field) {
        return isSameHeader(field.name, name);
    });
    return static_cast<std::size_t>(count);
}

auto addHeader(header_list &headers, std::string_view name, std::string value) -> void
{
    headers.fields.push_back({std::string(name), std::move(value)});
}

auto headerValue(const header_list &headers, std::string_view name) -> std::string
{
    const auto *found = findHeader(headers, name);
    return found == nullptr ? std::string() : *found;
}

auto queryParameter(std::string_view target, std::string_view name) -> std::string
{
    const auto queryStart = target.find('?');
    if (queryStart == std::string_view::npos)
        return {};
    auto rest = target.substr(queryStart + 1);
    while (!rest.empty()) {
        const auto parameter = rest.substr(0, rest.find('&'));
        const auto equals = parameter.find('=');
        if (parameter.substr(0, equals) == name)
            return equals == std::string_view::npos ? ""
                                                    : std::string(parameter.substr(equals + 1));
        rest = parameter.size() < rest.size() ? rest.substr(parameter.size() + 1)
                                              : std::string_view();
    }
    return {};
}

auto targetPath(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

} // namespace parsleyloft
