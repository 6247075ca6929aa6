// Tables of names for enum classes.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace parsleyloft {

template<typename enumeration>
struct named
{
    enumeration value;
    std::string_view name;
};

template<typename enumeration, std::size_t count>
using name_table = std::array<named<enumeration>, count>;

// Returns the name of a value, or "invalid" for a value outside the table.
template<typename enumeration, std::size_t count>
constexpr auto nameIn(const name_table<enumeration, count> &table, enumeration value)
        -> std::string_view
{
    for (const auto &entry : table) {
        if (entry.value == value)
            return entry.name;
    }
    return "invalid";
}

// Returns the value with the given name, or nothing when there is none.
template<typename enumeration, std::size_t count>
constexpr auto valueIn(const name_table<enumeration, count> &table, std::string_view name)
        -> std::optional<enumeration>
{
    for (const auto &entry : table) {
        if (entry.name == name)
            return entry.value;
    }
    return std::nullopt;
}

} // namespace parsleyloft
