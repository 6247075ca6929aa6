// What a server of the soak does with one request.
#include "soak/server_exchange.h"

#include "platform/wire_names.h"
#include "transport/worker_pool.h"

#include <thread>

namespace parsleyloft {

namespace {

auto run(request_exchange &exchange) -> void
{
    if (const auto status = work(exchange))
        writeAnswer(exchange, *status, makeAnswer(exchange, *status, stampLine(exchange)));
}

auto refuse(request_exchange &exchange, refusal_copies copies) -> void
{
    if (!readBody(exchange))
        return;
    const auto status = drawOneOf(exchange, {503, 429, otherServer});
    // The rules take the status 421 for the statement.
    const auto hasStatement = status != otherServer || drawBetween(exchange.random, 0, 2) > 0;
    writeRefusal(exchange, status, makeRefusal(exchange, status, hasStatement, true), copies);
}

auto refuseOnce(request_exchange &exchange) -> void
{
    refuse(exchange, refusal_copies::None);
}

auto refuseTwice(request_exchange &exchange) -> void
{
    refuse(exchange, refusal_copies::AtOnce);
}

auto refuseWithLateCopy(request_exchange &exchange) -> void
{
    refuse(exchange, refusal_copies::Late);
}

auto refuseWithoutId(request_exchange &exchange) -> void
{
    if (!readBody(exchange))
        return;
    writeRefusal(exchange, 503, makeRefusal(exchange, 503, true, false), refusal_copies::None);
}

auto refuseBeforeBody(request_exchange &exchange) -> void
{
    const auto status = drawOneOf(exchange, {503, 429, otherServer});
    writeRefusal(exchange, status, makeRefusal(exchange, status, true, true), refusal_copies::None);
    readBody(exchange);
}

auto refuseBeforeBodyAndClose(request_exchange &exchange) -> void
{
    const auto status = drawOneOf(exchange, {503, 429, otherServer});
    writeRefusal(exchange, status, makeRefusal(exchange, status, true, true), refusal_copies::None);
    closeConnection(exchange.connection);
}

auto runBeforeBody(request_exchange &exchange) -> void
{
    if (!beginWork(exchange)) {
        refuseAsOther(exchange);
        return;
    }
    const auto status = endWork(exchange);
    writeAnswer(exchange, status, makeAnswer(exchange, status, stampLine(exchange)));
    readBody(exchange);
}

auto runBeforeBodyAndReset(request_exchange &exchange) -> void
{
    if (!beginWork(exchange)) {
        refuseAsOther(exchange);
        return;
    }
    endWork(exchange);
    resetConnection(exchange.connection);
}

auto runAndClose(request_exchange &exchange) -> void
{
    if (work(exchange))
        closeConnection(exchange.connection);
}

auto runAndReset(request_exchange &exchange) -> void
{
    if (work(exchange))
        resetConnection(exchange.connection);
}

auto workLater(request_exchange &exchange, duration delay) -> void
{
    std::this_thread::sleep_for(delay);
    if (beginWork(exchange))
        endWork(exchange);
}

auto closeAndRun(request_exchange &exchange) -> void
{
    if (!readBody(exchange))
        return;
    closeConnection(exchange.connection);
    workLater(exchange, drawPause(exchange, 0, 500));
}

auto resetAndRun(request_exchange &exchange) -> void
{
    if (!readBody(exchange))
        return;
    resetConnection(exchange.connection);
    workLater(exchange, drawPause(exchange, 0, 500));
}

auto runAndCutAnswer(request_exchange &exchange) -> void
{
    const auto status = work(exchange);
    if (!status)
        return;
    const auto answer = makeAnswer(exchange, *status, stampLine(exchange));
    logStep(exchange, "cuts_answer", *status);
    writeNext(exchange, std::string_view(answer).substr(0, drawPosition(exchange, answer)));
    if (drawBetween(exchange.random, 0, 1) == 0)
        resetConnection(exchange.connection);
    closeConnection(exchange.connection);
}

auto runWithoutLength(request_exchange &exchange) -> void
{
    const auto status = work(exchange);
    if (!status)
        return;
    const auto answer = statusLine(*status) + idLine(exchange) + stampLine(exchange) + "\r\n"
            + bodyOf(exchange);
    writeAnswer(exchange, *status, answer);
    closeConnection(exchange.connection);
}

auto runAndCloseIdle(request_exchange &exchange) -> void
{
    run(exchange);
    if (exchange.connection.socket >= 0
        && !awaitBytes(exchange.connection, drawPause(exchange, 0, 30)))
        closeConnection(exchange.connection);
}

auto runAndAnswerTwice(request_exchange &exchange) -> void
{
    if (const auto status = work(exchange)) {
        const auto answer = makeAnswer(exchange, *status, stampLine(exchange));
        writeAnswer(exchange, *status, answer + answer);
    }
}

auto runWithLateCopy(request_exchange &exchange) -> void
{
    if (const auto status = work(exchange)) {
        const auto answer = makeAnswer(exchange, *status, stampLine(exchange));
        writeAnswer(exchange, *status, answer);
        writeLateCopy(exchange, answer);
    }
}

// Runs, and writes the bytes before the answer, which in some cases is a failure.
auto runAfter(request_exchange &exchange, const std::string &bytes) -> void
{
    const auto status = work(exchange);
    if (!status)
        return;
    logStep(exchange, "other_bytes_before_answer", 0);
    writeNext(exchange, bytes);
    if (drawBetween(exchange.random, 0, 1) == 0)
        pause(exchange, 5, 30);
    enum form : std::uint8_t { Usual, FailureWithStamp, FailureWithoutStamp };
    constexpr int usualWeight = 4;
    const auto drawn = drawIndex(exchange.random, {usualWeight, 1, 1});
    const auto answerStatus = drawn == Usual ? *status : 500;
    const auto stamp = drawn == FailureWithoutStamp ? std::string() : stampLine(exchange);
    writeAnswer(exchange, answerStatus, makeAnswer(exchange, answerStatus, stamp));
}

auto runAfterPartOfEarlierAnswer(request_exchange &exchange) -> void
{
    const auto earlier = exchange.connection.lastAnswer;
    runAfter(exchange,
             earlier.empty() ? earlier : earlier.substr(0, drawPosition(exchange, earlier)));
}

auto runAfterEarlierAnswer(request_exchange &exchange) -> void
{
    runAfter(exchange, exchange.connection.lastAnswer);
}

auto runAfterEarlierRefusal(request_exchange &exchange) -> void
{
    runAfter(exchange, exchange.connection.lastRefusal);
}

auto drawRefusalWithoutId(request_exchange &exchange) -> std::string
{
    return makeRefusal(exchange, drawOneOf(exchange, {503, 429, otherServer}), true, false);
}

auto runAfterPartOfRefusalWithoutId(request_exchange &exchange) -> void
{
    const auto refusal = drawRefusalWithoutId(exchange);
    runAfter(exchange, refusal.substr(0, drawPosition(exchange, refusal)));
}

auto runAfterRefusalWithoutId(request_exchange &exchange) -> void
{
    runAfter(exchange, drawRefusalWithoutId(exchange));
}

auto runAfterOtherBytes(request_exchange &exchange) -> void
{
    constexpr int lastByte = 255;
    std::string bytes(static_cast<std::size_t>(drawBetween(exchange.random, 1, 40)), '\0');
    for (auto &byte : bytes)
        byte = static_cast<char>(drawBetween(exchange.random, 0, lastByte));
    runAfter(exchange, bytes);
}

auto runAfterInterimAnswer(request_exchange &exchange) -> void
{
    runAfter(exchange,
             statusLine(drawOneOf(exchange, {100, 102, 103})) + idLine(exchange)
                     + headerLine(notExecutedName, "1") + "\r\n");
}

auto awaitDeadline(request_exchange &exchange) -> void
{
    constexpr std::int64_t longestMs = 2500;
    const auto text = headerValue(exchange.request.headers, deadlineName);
    const auto deadlineMs =
            std::min<std::int64_t>(std::strtol(text.c_str(), nullptr, 10), longestMs);
    std::this_thread::sleep_for(std::chrono::milliseconds(deadlineMs));
    pause(exchange, 20, 300);
}

auto runLate(request_exchange &exchange) -> void
{
    const auto status = work(exchange);
    if (!status)
        return;
    awaitDeadline(exchange);
    writeAnswer(exchange, *status, makeAnswer(exchange, *status, stampLine(exchange)));
}

auto beginLate(request_exchange &exchange) -> void
{
    if (!readBody(exchange))
        return;
    awaitDeadline(exchange);
    workLater(exchange, 0us);
    closeConnection(exchange.connection);
}

auto runAndFail(request_exchange &exchange) -> void
{
    if (!work(exchange))
        return;
    const auto status = drawOneOf(exchange, {500, 504});
    const auto stamp =
            drawBetween(exchange.random, 0, 1) == 0 ? std::string() : stampLine(exchange);
    writeAnswer(exchange, status, makeAnswer(exchange, status, stamp));
}

auto runAndAnswerBareRefusal(request_exchange &exchange) -> void
{
    if (!work(exchange))
        return;
    const auto status = drawOneOf(exchange, {503, 429, 408});
    const auto stamp =
            drawBetween(exchange.random, 0, 1) == 0 ? std::string() : stampLine(exchange);
    writeAnswer(exchange, status, makeAnswer(exchange, status, stamp));
}

auto runAndContradictItself(request_exchange &exchange) -> void
{
    if (!work(exchange))
        return;
    const auto status = drawOneOf(exchange, {200, 500, 503, 429, otherServer});
    const auto lines = stampLine(exchange) + headerLine(notExecutedName, "1");
    writeAnswer(exchange, status, makeAnswer(exchange, status, lines));
}

auto runAndMisstate(request_exchange &exchange) -> void
{
    if (!work(exchange))
        return;
    const auto status = drawOneOf(exchange, {200, 500, 504, otherServer});
    const auto statement = status == otherServer ? std::string() : headerLine(notExecutedName, "1");
    writeAnswer(exchange, status, makeAnswer(exchange, status, statement));
}

// A behaviour, the trouble that plays it, and how often it is drawn beside the others.
struct behaviour_rule
{
    server_behaviour behaviour = server_behaviour::Runs;
    std::optional<scene_trouble> trouble;
    int weight = 0;
    auto(*perform)(request_exchange &) -> void = nullptr;
};

const std::vector<behaviour_rule> behaviourRules{
        {server_behaviour::Runs, std::nullopt, 60, run},
        {server_behaviour::Refuses, scene_trouble::Answers, 4, refuseOnce},
        {server_behaviour::RefusesTwice, scene_trouble::Answers, 4, refuseTwice},
        {server_behaviour::RefusesWithLateCopy, scene_trouble::Answers, 6, refuseWithLateCopy},
        {server_behaviour::RefusesWithoutId, scene_trouble::Answers, 1, refuseWithoutId},
        {server_behaviour::RefusesBeforeBody, scene_trouble::Bodies, 8, refuseBeforeBody},
        {server_behaviour::RefusesBeforeBodyAndCloses, scene_trouble::Bodies, 2,
         refuseBeforeBodyAndClose},
        {server_behaviour::RunsBeforeBody, scene_trouble::Bodies, 8, runBeforeBody},
        {server_behaviour::RunsBeforeBodyAndResets, scene_trouble::Bodies, 3,
         runBeforeBodyAndReset},
        {server_behaviour::RunsAndCloses, scene_trouble::Answers, 1, runAndClose},
        {server_behaviour::RunsAndResets, scene_trouble::Answers, 1, runAndReset},
        {server_behaviour::ClosesAndRuns, scene_trouble::Answers, 1, closeAndRun},
        {server_behaviour::ResetsAndRuns, scene_trouble::Answers, 1, resetAndRun},
        {server_behaviour::RunsAndCutsAnswer, scene_trouble::Answers, 1, runAndCutAnswer},
        {server_behaviour::RunsWithoutLength, scene_trouble::Answers, 1, runWithoutLength},
        {server_behaviour::RunsAndClosesIdle, scene_trouble::Answers, 2, runAndCloseIdle},
        {server_behaviour::RunsAndAnswersTwice, scene_trouble::Answers, 1, runAndAnswerTwice},
        {server_behaviour::RunsWithLateCopy, scene_trouble::Answers, 2, runWithLateCopy},
        {server_behaviour::RunsAfterPartOfEarlierAnswer, scene_trouble::Answers, 1,
         runAfterPartOfEarlierAnswer},
        {server_behaviour::RunsAfterEarlierAnswer, scene_trouble::Answers, 1,
         runAfterEarlierAnswer},
        {server_behaviour::RunsAfterEarlierRefusal, scene_trouble::Answers, 2,
         runAfterEarlierRefusal},
        {server_behaviour::RunsAfterPartOfRefusalWithoutId, scene_trouble::Answers, 3,
         runAfterPartOfRefusalWithoutId},
        {server_behaviour::RunsAfterRefusalWithoutId, scene_trouble::Answers, 1,
         runAfterRefusalWithoutId},
        {server_behaviour::RunsAfterOtherBytes, scene_trouble::Answers, 1, runAfterOtherBytes},
        {server_behaviour::RunsAfterInterimAnswer, scene_trouble::Answers, 1,
         runAfterInterimAnswer},
        {server_behaviour::RunsLate, scene_trouble::Answers, 1, runLate},
        {server_behaviour::BeginsLate, scene_trouble::Answers, 1, beginLate},
        {server_behaviour::RunsAndFails, scene_trouble::Answers, 1, runAndFail},
        {server_behaviour::RunsAndAnswersBareRefusal, scene_trouble::Answers, 1,
         runAndAnswerBareRefusal},
        {server_behaviour::RunsAndContradictsItself, scene_trouble::Answers, 1,
         runAndContradictItself},
        {server_behaviour::RunsAndMisstates, scene_trouble::Statements, 5, runAndMisstate},
};

auto drawRule(request_exchange &exchange) -> const behaviour_rule &
{
    std::vector<int> weights;
    for (const auto &rule : behaviourRules) {
        const auto played =
                !rule.trouble || exchange.process.options.troubles.contains(*rule.trouble);
        weights.push_back(played ? rule.weight : 0);
    }
    return behaviourRules[drawIndex(exchange.random, weights)];
}

// True if the request names another server.
auto isForOther(const request_exchange &exchange) -> bool
{
    const auto *expected = findHeader(exchange.request.headers, expectedServerName);
    return expected != nullptr && *expected != exchange.process.options.id;
}

} // namespace

auto serveRequest(serving_process &process, server_connection &connection, http_request request)
        -> void
{
    const auto id = headerValue(request.headers, requestIdName);
    const auto key = headerValue(request.headers, keyName);
    request_exchange exchange{process,
                              connection,
                              std::move(request),
                              id,
                              static_cast<std::uint32_t>(std::strtoul(key.c_str(), nullptr, 10)),
                              server_behaviour::Runs,
                              makeRandom(process.options.seed, id + " " + process.options.id),
                              false};
    if (isForOther(exchange)) {
        refuseAsOther(exchange);
        return;
    }
    const auto &rule = drawRule(exchange);
    exchange.behaviour = rule.behaviour;
    rule.perform(exchange);
}

} // namespace parsleyloft
