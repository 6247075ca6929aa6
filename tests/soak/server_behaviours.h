// What a server of the soak does with one request, drawn from the seed, the request and the server.
//
// A statement that a request has not run is true, except where the behaviour says otherwise: there,
// the answer is one that the platform's pages do not count as a statement.
#pragma once

#include "soak/server_connection.h"
#include "soak/server_keys.h"
#include "soak/server_process.h"
#include "telemetry/journal.h"

#include <condition_variable>
#include <mutex>

namespace parsleyloft {

enum class server_behaviour : std::uint8_t {
    Runs,
    // Refuses with the statement that the request has not run: 503, 429 or 421.
    Refuses,
    // Refuses, and writes the refusal once more at once.
    RefusesTwice,
    // Refuses, and writes the refusal once more later, at the latest before the next answer on the
    // connection.
    RefusesWithLateCopy,
    // Refuses without the request's id.
    RefusesWithoutId,
    // Refuses before it has read the body, and reads on.
    RefusesBeforeBody,
    // Refuses before it has read the body, and closes the connection.
    RefusesBeforeBodyAndCloses,
    // Answers before it has read the body, and reads on.
    RunsBeforeBody,
    // Runs, and resets the connection before it has read the body.
    RunsBeforeBodyAndResets,
    // Runs, then closes or resets the connection instead of answering.
    RunsAndCloses,
    RunsAndResets,
    // Closes or resets the connection, then runs.
    ClosesAndRuns,
    ResetsAndRuns,
    // Runs, and breaks the answer off.
    RunsAndCutsAnswer,
    // Runs, and answers without a length.
    RunsWithoutLength,
    // Runs, and closes the connection soon after the answer without announcing it.
    RunsAndClosesIdle,
    // Runs, and writes the answer once more, at once or later.
    RunsAndAnswersTwice,
    RunsWithLateCopy,
    // Runs, and writes one of these before the answer.
    RunsAfterPartOfEarlierAnswer,
    RunsAfterEarlierAnswer,
    RunsAfterEarlierRefusal,
    RunsAfterPartOfRefusalWithoutId,
    RunsAfterRefusalWithoutId,
    RunsAfterOtherBytes,
    RunsAfterInterimAnswer,
    // Answers only after the deadline.
    RunsLate,
    // Leaves the request unanswered, and runs it only after the deadline.
    BeginsLate,
    RunsAndFails,
    // Runs, and answers 503, 429 or 408 without the statement.
    RunsAndAnswersBareRefusal,
    // Runs, and answers with the statement that it has not and the stamp of work.
    RunsAndContradictsItself,
    // Runs, and answers with half of the statement and without the stamp: X-Not-Executed beside a
    // status of work, or the status 421 alone.
    RunsAndMisstates,
};

inline constexpr name_table<server_behaviour, 31> serverBehaviourNames{{
        {server_behaviour::Runs, "runs"},
        {server_behaviour::Refuses, "refuses"},
        {server_behaviour::RefusesTwice, "refuses_twice"},
        {server_behaviour::RefusesWithLateCopy, "refuses_with_late_copy"},
        {server_behaviour::RefusesWithoutId, "refuses_without_id"},
        {server_behaviour::RefusesBeforeBody, "refuses_before_body"},
        {server_behaviour::RefusesBeforeBodyAndCloses, "refuses_before_body_and_closes"},
        {server_behaviour::RunsBeforeBody, "runs_before_body"},
        {server_behaviour::RunsBeforeBodyAndResets, "runs_before_body_and_resets"},
        {server_behaviour::RunsAndCloses, "runs_and_closes"},
        {server_behaviour::RunsAndResets, "runs_and_resets"},
        {server_behaviour::ClosesAndRuns, "closes_and_runs"},
        {server_behaviour::ResetsAndRuns, "resets_and_runs"},
        {server_behaviour::RunsAndCutsAnswer, "runs_and_cuts_answer"},
        {server_behaviour::RunsWithoutLength, "runs_without_length"},
        {server_behaviour::RunsAndClosesIdle, "runs_and_closes_idle"},
        {server_behaviour::RunsAndAnswersTwice, "runs_and_answers_twice"},
        {server_behaviour::RunsWithLateCopy, "runs_with_late_copy"},
        {server_behaviour::RunsAfterPartOfEarlierAnswer, "runs_after_part_of_earlier_answer"},
        {server_behaviour::RunsAfterEarlierAnswer, "runs_after_earlier_answer"},
        {server_behaviour::RunsAfterEarlierRefusal, "runs_after_earlier_refusal"},
        {server_behaviour::RunsAfterPartOfRefusalWithoutId,
         "runs_after_part_of_refusal_without_id"},
        {server_behaviour::RunsAfterRefusalWithoutId, "runs_after_refusal_without_id"},
        {server_behaviour::RunsAfterOtherBytes, "runs_after_other_bytes"},
        {server_behaviour::RunsAfterInterimAnswer, "runs_after_interim_answer"},
        {server_behaviour::RunsLate, "runs_late"},
        {server_behaviour::BeginsLate, "begins_late"},
        {server_behaviour::RunsAndFails, "runs_and_fails"},
        {server_behaviour::RunsAndAnswersBareRefusal, "runs_and_answers_bare_refusal"},
        {server_behaviour::RunsAndContradictsItself, "runs_and_contradicts_itself"},
        {server_behaviour::RunsAndMisstates, "runs_and_misstates"},
}};

// The state that the connections of one server process share.
struct serving_process
{
    server_process_options options;
    journal events;
    std::mutex lock;
    // Both guarded by lock. The running keys have one entry for each running request.
    key_grants grants;
    std::multiset<std::uint32_t> runningKeys;
    // Signals that work on a key has ended.
    std::condition_variable workEnded;
};

// Handles a request whose head has been read, and leaves the connection open or closes it.
auto serveRequest(serving_process &process, server_connection &connection, http_request request)
        -> void;

} // namespace parsleyloft
