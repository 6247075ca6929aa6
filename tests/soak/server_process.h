// A backend server of the soak as a process of its own, whose answers are given byte by byte. It
// records each request that it runs in its journal before the work begins.
#pragma once

#include "command/subcommand.h"
#include "soak/scene.h"

namespace parsleyloft {

// What a server does with one request.
enum class server_behaviour : std::uint8_t {
    Runs,
    // Refuses with the statement that the request has not run: 503, 429 or 421.
    Refuses,
    // Refuses, and writes the refusal once more at once.
    RefusesTwice,
    // Refuses, and writes the refusal once more before the next answer on the connection.
    RefusesWithLateCopy,
    // Refuses before it has read the body, and reads on.
    RefusesBeforeBody,
    // Runs, then closes or resets the connection instead of answering.
    RunsAndCloses,
    RunsAndResets,
    // Runs, and breaks the answer off.
    RunsAndCutsAnswer,
    // Runs, and answers without a length.
    RunsWithoutLength,
    // Runs, and writes one of these before the answer.
    RunsAfterPartOfEarlierAnswer,
    RunsAfterEarlierAnswer,
    RunsAfterPartOfRefusalWithoutId,
    RunsAfterOtherBytes,
    // Answers only after the deadline.
    RunsLate,
    RunsAndFails,
    // Runs, and answers 503, 429 or 408 without the statement.
    RunsAndAnswersBareRefusal,
    // Runs, and answers with the statement that it has not and the stamp of work.
    RunsAndContradictsItself,
};

inline constexpr name_table<server_behaviour, 17> serverBehaviourNames{{
        {server_behaviour::Runs, "runs"},
        {server_behaviour::Refuses, "refuses"},
        {server_behaviour::RefusesTwice, "refuses_twice"},
        {server_behaviour::RefusesWithLateCopy, "refuses_with_late_copy"},
        {server_behaviour::RefusesBeforeBody, "refuses_before_body"},
        {server_behaviour::RunsAndCloses, "runs_and_closes"},
        {server_behaviour::RunsAndResets, "runs_and_resets"},
        {server_behaviour::RunsAndCutsAnswer, "runs_and_cuts_answer"},
        {server_behaviour::RunsWithoutLength, "runs_without_length"},
        {server_behaviour::RunsAfterPartOfEarlierAnswer, "runs_after_part_of_earlier_answer"},
        {server_behaviour::RunsAfterEarlierAnswer, "runs_after_earlier_answer"},
        {server_behaviour::RunsAfterPartOfRefusalWithoutId,
         "runs_after_part_of_refusal_without_id"},
        {server_behaviour::RunsAfterOtherBytes, "runs_after_other_bytes"},
        {server_behaviour::RunsLate, "runs_late"},
        {server_behaviour::RunsAndFails, "runs_and_fails"},
        {server_behaviour::RunsAndAnswersBareRefusal, "runs_and_answers_bare_refusal"},
        {server_behaviour::RunsAndContradictsItself, "runs_and_contradicts_itself"},
}};

// The command line of one server process.
struct server_process_options
{
    std::uint64_t seed = 1;
    std::string id;
    endpoint address;
    std::string journalPath;
    bool keyed = false;
    std::set<scene_trouble> troubles;
};

auto toArguments(const server_process_options &options) -> std::vector<std::string>;

// The subcommand "server". Serves until the process is ended.
auto runServerProcess(const arguments &rest) -> exit_code;

} // namespace parsleyloft
