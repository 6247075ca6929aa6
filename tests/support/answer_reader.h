// Reads the answers that a caller receives, byte by byte and without the code of the hosts.
#pragma once

#include "support/caller_socket.h"

#include <optional>

namespace parsleyloft {

enum class answer_end : std::uint8_t {
    Whole,
    // No byte came before the end of the connection.
    Nothing,
    // The connection ended, or was reset, before the end of the answer.
    Cut,
    Late,
    // The bytes are no answer in the protocol.
    Malformed,
};

struct caller_answer
{
    answer_end end = answer_end::Nothing;
    // 0 until the head is complete.
    unsigned status = 0;
    std::string requestId;
    duration retryAfter = 0us;
    bool keepsConnection = false;
    std::string body;
};

// True for an answer after which the final one follows.
auto isInterim(const caller_answer &answer) -> bool;

// Reads the next answer. Interim ones are answers too.
auto readAnswer(caller_socket &socket, instant until) -> caller_answer;

// Reads the next answer that is not an interim one.
auto readFinalAnswer(caller_socket &socket, instant until) -> caller_answer;

} // namespace parsleyloft
