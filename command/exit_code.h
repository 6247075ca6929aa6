// Exit codes of the programs, common to all subcommands.
#pragma once

#include "core/error.h"

namespace parsleyloft {

enum class exit_code {
    Success = 0,
    // The work failed: a breach found, a request not answered, a drain cut short.
    Failed = 1,
    // The command line or a file is wrong.
    Usage = 2,
    Unreachable = 3,
    Conflict = 4,
    NotFound = 5,
    // A change may or may not have been stored.
    Unknown = 6,
};

inline constexpr name_table<exit_code, 7> exitCodeNames{{
        {exit_code::Success, "success"},
        {exit_code::Failed, "failed"},
        {exit_code::Usage, "usage"},
        {exit_code::Unreachable, "unreachable"},
        {exit_code::Conflict, "conflict"},
        {exit_code::NotFound, "not_found"},
        {exit_code::Unknown, "unknown"},
}};

} // namespace parsleyloft
