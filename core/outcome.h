// The outcome of a request as reported to the caller, and its cause.
#pragma once

#include "core/names.h"

#include <cstdint>
#include <string>

namespace parsleyloft {

enum class outcome : std::uint8_t {
    // A backend server ran the request, and its complete answer was received.
    Answered = 1,
    // No backend server has run the request, and none will.
    NotRun = 2,
    // A backend server may have run the request.
    Unknown = 3,
};

inline constexpr name_table<outcome, 3> outcomeNames{{
        {outcome::Answered, "answered"},
        {outcome::NotRun, "not_run"},
        {outcome::Unknown, "unknown"},
}};

enum class reason : std::uint8_t {
    None = 0,
    BadRequest,
    UnknownClass,
    MissingKey,
    MissingRequestId,
    TooLarge,
    Draining,
    QueueFull,
    WaitTooLong,
    ShedForOthers,
    NoServer,
    NoOwner,
    WrongHolder,
    HolderUnreachable,
    DeadlinePassed,
    ServerRefused,
    ServerFailed,
    AnswerMismatch,
    HostLost,
    HistoryLost,
    AlreadyRunning,
};

inline constexpr name_table<reason, 21> reasonNames{{
        {reason::None, "none"},
        {reason::BadRequest, "bad_request"},
        {reason::UnknownClass, "unknown_class"},
        {reason::MissingKey, "missing_key"},
        {reason::MissingRequestId, "missing_request_id"},
        {reason::TooLarge, "too_large"},
        {reason::Draining, "draining"},
        {reason::QueueFull, "queue_full"},
        {reason::WaitTooLong, "wait_too_long"},
        {reason::ShedForOthers, "shed_for_others"},
        {reason::NoServer, "no_server"},
        {reason::NoOwner, "no_owner"},
        {reason::WrongHolder, "wrong_holder"},
        {reason::HolderUnreachable, "holder_unreachable"},
        {reason::DeadlinePassed, "deadline_passed"},
        {reason::ServerRefused, "server_refused"},
        {reason::ServerFailed, "server_failed"},
        {reason::AnswerMismatch, "answer_mismatch"},
        {reason::HostLost, "host_lost"},
        {reason::HistoryLost, "history_lost"},
        {reason::AlreadyRunning, "already_running"},
}};

// The final outcome of one request. The body is empty unless the result is Answered.
struct request_outcome
{
    outcome result = outcome::NotRun;
    reason cause = reason::None;
    std::string body;
};

inline auto notRun(reason cause) -> request_outcome
{
    return {outcome::NotRun, cause, {}};
}

inline auto unknownOutcome(reason cause) -> request_outcome
{
    return {outcome::Unknown, cause, {}};
}

} // namespace parsleyloft
