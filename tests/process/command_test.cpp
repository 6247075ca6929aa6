// Responses and exit codes of the shipped program for invalid requests, commands and settings.
#include "codec/json.h"
#include "command/exit_code.h"
#include "support/raw_server.h"
#include "tests/support/cluster.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sys/wait.h>

namespace parsleyloft {

namespace {

// Runs the shipped program with the arguments and returns its exit code.
auto runProgram(const std::string &arguments) -> exit_code
{
    const auto status = std::system(
            (std::string(PARSLEYLOFT_PROGRAM) + " " + arguments + " >/dev/null 2>&1").c_str());
    return static_cast<exit_code>(WEXITSTATUS(status));
}

auto reasonOf(const http_response &response) -> std::string
{
    return headerValue(response.headers, "Parsleyloft-Reason");
}

} // namespace

TEST_CASE_METHOD(cluster, "invalid_requests_get_a_status_and_a_reason_and_are_not_run", "[process]")
{
    const auto unknownClass = callClass(*this, "host-1", "nothing", "r1", "");
    CHECK(unknownClass.status == 404);
    CHECK(reasonOf(unknownClass) == "unknown_class");
    const auto withoutKey = callClass(*this, "host-1", "order", "r2", "");
    CHECK(withoutKey.status == 400);
    CHECK(reasonOf(withoutKey) == "missing_key");
    const auto withoutId = callClass(*this, "host-1", "check", "", "");
    CHECK(withoutId.status == 400);
    CHECK(reasonOf(withoutId) == "missing_request_id");
    const auto longKey = callClass(*this, "host-1", "order", "r3", std::string(600, 'k'));
    CHECK(reasonOf(longKey) == "bad_request");
    const auto tooLarge = postRequest(*this, callerAddress(*this, "host-1"), "/v1/call/check",
                                      std::string(100'000, 'x'));
    CHECK(tooLarge.status == 413);
    for (const auto &response : {unknownClass, withoutKey, withoutId, longKey, tooLarge})
        CHECK(headerValue(response.headers, "Parsleyloft-Outcome") == "not_run");
}

TEST_CASE_METHOD(cluster, "operator_commands_return_their_exit_codes", "[process]")
{
    const auto address = " --at " + callerAddress(*this, "host-2");
    CHECK(runProgram("class list" + address) == exit_code::Success);
    CHECK(runProgram("status --json" + address) == exit_code::Success);
    CHECK(runProgram("dump" + address) == exit_code::Success);
    CHECK(runProgram("class remove nothing" + address) == exit_code::NotFound);
    CHECK(runProgram("class set x --service nowhere --max-wait-ms 5" + address)
          == exit_code::Usage);
    CHECK(runProgram("domain out a --revision 1" + address) == exit_code::Conflict);
    CHECK(runProgram("status --at 127.0.0.1:1") == exit_code::Unreachable);
    CHECK(runProgram("call --class check" + address) == exit_code::Success);
    CHECK(runProgram("call --class nothing" + address) == exit_code::Failed);
    CHECK(runProgram("no-such-command") == exit_code::Usage);
}

// Guards against a false "not run": an answer without an outcome, as of a proxy between the caller
// and the host, was reported like a refusal.
TEST_CASE("call_without_an_outcome_in_its_answer_is_reported_as_unknown", "[process]")
{
    const auto headers =
            GENERATE(as<std::string>{}, "502 Bad Gateway\r\n", "503 Unavailable\r\n", "200 OK\r\n",
                     "503 Unavailable\r\nParsleyloft-Outcome: invalid\r\n");
    raw_server server([&](raw_connection &connection) {
        return sendAll(connection, "HTTP/1.1 " + headers + "Content-Length: 0\r\n\r\n");
    });
    CHECK(runProgram("call --class check --at " + formatEndpoint(server.address))
          == exit_code::Unknown);
}

// Guards against a change that is reported as refused while the host may have stored it.
TEST_CASE("change_without_a_readable_answer_is_reported_as_unknown", "[process]")
{
    raw_server server([](raw_connection &connection) {
        return sendAll(connection,
                       "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 11\r\n\r\nbad gateway");
    });
    CHECK(runProgram("class remove nothing --at " + formatEndpoint(server.address))
          == exit_code::Unknown);
}

TEST_CASE_METHOD(cluster, "invalid_settings_stop_the_host_with_an_exit_code", "[process]")
{
    const auto path = directory + "/wrong.json";
    std::ofstream(path) << R"({"host_id": ""})";
    CHECK(runProgram("check --settings " + path) == exit_code::Usage);
    CHECK(runProgram("serve --settings " + path) == exit_code::Usage);
    CHECK(runProgram("check --settings " + directory + "/none.json") == exit_code::Usage);
    CHECK(runProgram("check --settings " + directory + "/host-1.json") == exit_code::Success);
    // The ports belong to a host that is running.
    CHECK(runProgram("serve --settings " + directory + "/host-1.json") == exit_code::Unreachable);
}

TEST_CASE_METHOD(cluster, "host_started_without_the_platform_reports_it_and_joins_its_peers",
                 "[process]")
{
    setPlatformFaults(*this, R"({"down": true})");
    sendSignal(*this, "host-6", SIGKILL);
    awaitExit(*this, "host-6");
    startHost(*this, "host-6");
    waitUntil("the host serves", [&] { return allShardsOwned(*this); });
    const auto dump = fetchDump(*this, "host-6");
    REQUIRE(dump);
    CHECK_FALSE(dump->store_reachable());
    CHECK(callClass(*this, "host-6", "check", "r1", "").status == 200);
    // The store is unreachable, so a change is refused as Unreachable.
    CHECK(runProgram("domain out a --at " + callerAddress(*this, "host-6"))
          == exit_code::Unreachable);
}

} // namespace parsleyloft
