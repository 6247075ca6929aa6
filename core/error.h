// Errors as values: a code for programs and a detail text for readers.
#pragma once

#include "core/names.h"

#include <string>
#include <tl/expected.hpp>

namespace parsleyloft {

enum class error_code {
    InvalidInput,
    NotFound,
    Conflict,
    Unreachable,
    TimedOut,
    // It is not known whether the operation took effect.
    Unknown,
    NotLeader,
    // The other side temporarily refused the operation; it had no effect.
    Rejected,
    // The requested changes are no longer available.
    HistoryLost,
};

inline constexpr name_table<error_code, 9> errorCodeNames{{
        {error_code::InvalidInput, "invalid_input"},
        {error_code::NotFound, "not_found"},
        {error_code::Conflict, "conflict"},
        {error_code::Unreachable, "unreachable"},
        {error_code::TimedOut, "timed_out"},
        {error_code::Unknown, "unknown"},
        {error_code::NotLeader, "not_leader"},
        {error_code::Rejected, "rejected"},
        {error_code::HistoryLost, "history_lost"},
}};

struct error
{
    error_code code;
    std::string detail;
};

template<typename value>
using result = tl::expected<value, error>;

inline auto failure(error_code code, std::string detail) -> tl::unexpected<error>
{
    return tl::unexpected<error>(error{code, std::move(detail)});
}

} // namespace parsleyloft
