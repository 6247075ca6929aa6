// Exit codes of the programs, shared by all subcommands.
#pragma once

#include "core/error.h"

namespace parsleyloft {

enum class exit_code {
    Success = 0,
    // The command ran and failed: the audit found a breach, a request was not run, or a drain
    // reached its limit.
    Failed = 1,
    // The command line or an input file is invalid.
    Usage = 2,
    Unreachable = 3,
    Conflict = 4,
    NotFound = 5,
    // A change may or may not have been stored, or a request may or may not have run.
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
