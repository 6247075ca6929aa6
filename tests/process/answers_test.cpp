// Answers that no correct server sends, through the real hosts: second copies, answers that break
// off, long answers to slow callers, and bytes without end. No caller may get an answer that is not
// its own and whole, and a host's memory stays bounded.
#include "support/raw_site.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <fstream>
#include <mutex>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace parsleyloft {

namespace {

constexpr std::size_t megabyte = std::size_t(1024) * 1024;

// As its base, with what tests of memory need.
struct hosts_and_slow_callers : hosts_before_a_raw_server
{
    // The host's resident memory.
    auto memoryOf(int host) -> std::size_t
    {
        std::ifstream status("/proc/" + std::to_string(processes.at("host-" + std::to_string(host)))
                             + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmRSS:"))
                return std::stoul(line.substr(6)) * 1024;
        }
        return 0;
    }

    // Sends a request and leaves the answer unread.
    auto openSlowCaller(int host, const std::string &id) -> int
    {
        const auto target = callerAddress(*this, host);
        const auto handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int receiveBytes = 8192;
        ::setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(target.port);
        inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
        REQUIRE(::connect(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
        const auto request = "GET /shop/large HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 2000\r\n\r\n";
        REQUIRE(::send(handle, request.data(), request.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(request.size()));
        return handle;
    }
};

} // namespace

TEST_CASE_METHOD(hosts_before_a_raw_server, "large_answer_reaches_a_caller_whole")
{
    std::string body;
    for (int index = 0; body.size() < 8 * megabyte; ++index)
        body += std::to_string(index) + ",";
    auto framing = withLength(body);
    SECTION("with_a_length")
    {
        answerBy([framing](raw_connection &connection) {
            return sendAll(connection, headOf(connection) + framing);
        });
    }
    SECTION("that_ends_with_the_connection")
    {
        answerBy([body](raw_connection &connection) {
            sendAll(connection, headOf(connection) + "\r\n" + body);
            return false;
        });
    }
    for (int host = 0; host < 2; ++host) {
        const auto outcome = callHost(*this, host, {});
        REQUIRE(outcome.failure == http_failure::None);
        CHECK(outcome.response.status == 200);
        CHECK((outcome.response.body == body));
    }
}

TEST_CASE_METHOD(hosts_and_slow_callers, "large_answers_to_slow_callers_take_little_memory")
{
    const std::string body(48 * megabyte, 'x');
    answerBy([&body](raw_connection &connection) {
        return sendAll(connection, headOf(connection) + withLength(body));
    });
    const auto before = memoryOf(0);
    std::vector<int> callers;
    callers.reserve(10);
    for (int index = 0; index < 10; ++index)
        callers.push_back(openSlowCaller(0, "slow-" + std::to_string(index)));
    std::this_thread::sleep_for(1s);
    const auto held = memoryOf(0);
    for (const auto caller : callers)
        ::close(caller);
    // Ten answers of at most 256 KB each are held, with as much again for buffers and
    // fragmentation.
    CHECK(held - before < 10 * megabyte);
    waitUntil("the server's connections are closed", [&] { return raw.openConnections < 5; });
}

TEST_CASE_METHOD(hosts_before_a_raw_server, "answer_that_breaks_off_never_looks_complete")
{
    const auto size = GENERATE(as<std::size_t>{}, 100, 2 * megabyte);
    const std::string body(size, 'x');
    const auto half = body.substr(0, size / 2);
    const auto answerAndEnd = [&](const std::string &rest, bool reset) {
        answerBy([rest, reset](raw_connection &connection) {
            sendAll(connection, headOf(connection) + rest);
            std::this_thread::sleep_for(100ms);
            if (reset)
                resetRaw(connection);
            return false;
        });
    };
    const auto endInHead = [&](auto partOfHead) {
        const auto reset = size == 100;
        answerBy([partOfHead, reset](raw_connection &connection) {
            sendAll(connection, partOfHead(connection));
            std::this_thread::sleep_for(20ms);
            if (reset)
                resetRaw(connection);
            return false;
        });
    };
    SECTION("with_a_length")
    {
        answerAndEnd("Content-Length: " + std::to_string(size) + "\r\n\r\n" + half, false);
    }
    SECTION("in_chunks")
    {
        char length[32];
        std::snprintf(length, sizeof(length), "%zx", size / 2);
        answerAndEnd("Transfer-Encoding: chunked\r\n\r\n" + std::string(length) + "\r\n" + half
                             + "\r\n",
                     false);
    }
    SECTION("by_a_reset_where_it_ends_with_the_connection")
    {
        answerAndEnd("\r\n" + half, true);
    }
    SECTION("in_the_status_line")
    {
        endInHead([](const raw_connection &) { return "HTTP/1.1 200 O"; });
    }
    SECTION("in_a_header")
    {
        endInHead(
                [](const raw_connection &connection) { return headOf(connection) + "Content-Le"; });
    }
    SECTION("before_the_blank_line")
    {
        endInHead([](const raw_connection &connection) { return headOf(connection); });
    }
    SECTION("in_the_blank_line")
    {
        endInHead([](const raw_connection &connection) { return headOf(connection) + "\r"; });
    }
    for (int host = 0; host < 2; ++host) {
        const auto read = callHost(*this, host, {});
        CHECK((read.failure != http_failure::None || read.response.status >= 500));
        const auto ordered = callHost(*this, host, order("cut-" + std::to_string(host)));
        // It may have run, so the answer must not say that it has not.
        CHECK((ordered.failure != http_failure::None || ordered.response.status == 502
               || ordered.response.status == 504));
    }
}

// A server may send a second copy of an answer late, on a connection that is in use again.
TEST_CASE_METHOD(hosts_before_a_raw_server, "second_copy_of_an_answer_reaches_no_other_caller")
{
    std::mutex copiesLock;
    std::map<int, std::string> copies;
    const auto exchangeCopy = [&](raw_connection &connection) {
        const std::lock_guard guard(copiesLock);
        return std::exchange(copies[connection.number], ownAnswer(connection));
    };
    SECTION("sent_in_one_segment_with_the_answer")
    {
        answerBy([](raw_connection &connection) {
            return sendAll(connection, ownAnswer(connection) + ownAnswer(connection));
        });
    }
    SECTION("sent_after_the_answer")
    {
        answerBy([](raw_connection &connection) {
            const auto sent = sendAll(connection, ownAnswer(connection));
            std::this_thread::sleep_for(2ms);
            return sent && sendAll(connection, ownAnswer(connection));
        });
    }
    SECTION("sent_before_the_next_answer")
    {
        answerBy([&](raw_connection &connection) {
            return sendAll(connection, exchangeCopy(connection))
                    && sendAll(connection, ownAnswer(connection));
        });
    }
    SECTION("sent_in_one_segment_with_the_next_answer")
    {
        answerBy([&](raw_connection &connection) {
            return sendAll(connection, exchangeCopy(connection) + ownAnswer(connection));
        });
    }
    SECTION("sent_in_pieces_around_the_next_request")
    {
        answerBy([&](raw_connection &connection) {
            const auto copy = exchangeCopy(connection);
            const auto split = copy.size() / 2;
            const auto sent = sendAll(connection, copy.substr(split))
                    && sendAll(connection, ownAnswer(connection));
            std::this_thread::sleep_for(1ms);
            const auto next = ownAnswer(connection);
            return sent && sendAll(connection, next.substr(0, next.size() / 2));
        });
    }
    std::size_t answered = 0;
    for (int index = 0; index < 60; ++index) {
        auto call = index % 3 == 0 ? order("o" + std::to_string(index)) : caller_call{};
        call.id = "copy-" + std::to_string(index);
        const auto outcome = callHost(*this, index % 2, call);
        if (outcome.failure != http_failure::None || outcome.response.status != 200)
            continue;
        ++answered;
        CHECK(outcome.response.body == "answer to " + call.id);
        CHECK(headerValue(outcome.response.headers, "X-Request-Id") == call.id);
    }
    CHECK(answered > 0);
}

// A server that refuses some requests, and writes the refusal once more when it runs a later one.
struct hosts_before_a_repeating_server : hosts_before_a_raw_server
{
    hosts_before_a_repeating_server()
    {
        answerBy([this](raw_connection &connection) { return refuseOrRun(connection); });
        putItem(*store, "servers/raw-2",
                R"({"service":"shop","address":"127.0.0.1:)" + std::to_string(other.address.port)
                        + R"(","zone":"b","slots":64,"state":"ready","warmup_left_ms":0,)"
                          R"("version":"v1","seq":1,"born":5})");
    }

    auto refusalOf(const raw_connection &connection, bool withId = true) const -> std::string
    {
        const auto idLine = "X-Request-Id: " + rawHeader(connection, "X-Request-Id") + "\r\n";
        return "HTTP/1.1 " + refusalStatus
                + " Refused\r\nX-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\n"
                + (withId ? idLine : "") + "Content-Length: 0\r\n\r\n";
    }

    auto refuseOrRun(raw_connection &connection) -> bool
    {
        const auto id = rawHeader(connection, "X-Request-Id");
        std::string copy;
        {
            const std::lock_guard guard(stateLock);
            // The first request of a connection is refused, each later one runs.
            auto &earlier = refusals[connection.number];
            if (earlier.empty() || id.starts_with("refuse")) {
                earlier = refusalOf(connection, copyHasId).substr(0, copiedBytes);
                return sendAll(connection, refusalOf(connection));
            }
            copy = earlier;
            ++runs[id];
            ++copies;
        }
        auto open = sendAll(connection, copy);
        if (copiedBytes == std::string::npos)
            std::this_thread::sleep_for(30ms);
        open = open && sendAll(connection, ownAnswer(connection));
        return open;
    }

    auto runsOfOrder(const std::string &id) -> int
    {
        const std::lock_guard guard(stateLock);
        return runs[id];
    }

    std::string refusalStatus = "503";
    bool copyHasId = true;
    std::size_t copiedBytes = std::string::npos;
    std::mutex stateLock;
    // All guarded by stateLock. The refusals by connection, and how often each request ran.
    std::map<int, std::string> refusals;
    std::map<std::string, int> runs;
    std::size_t copies = 0;
    raw_server other{[this](raw_connection &connection) { return refuseOrRun(connection); }};
};

// Guards against REFUSED and TWICE: the copy of an earlier refusal comes first where the answer of
// a running request is due.
TEST_CASE_METHOD(hosts_before_a_repeating_server,
                 "repeated_refusal_is_not_taken_for_the_answer_of_a_running_request")
{
    refusalStatus = GENERATE(as<std::string>{}, "503", "429", "421");
    SECTION("with_the_id_of_the_earlier_request") { }
    SECTION("without_an_id")
    {
        copyHasId = false;
    }
    SECTION("cut_off_inside_a_header")
    {
        copiedBytes = std::string("HTTP/1.1 503 Refused\r\nX-Not-Executed: 1\r\nKeep-Al: ").size();
    }
    SECTION("cut_off_inside_the_status_line")
    {
        copiedBytes = std::string("HTTP/1.1 503 Ref").size();
    }
    std::size_t ran = 0;
    for (int index = 0; index < 60 && ran < 6; ++index) {
        const auto id = (index % 2 == 0 ? "refuse-" : "run-") + std::to_string(index);
        // A server that has refused a request is left alone for a moment.
        std::this_thread::sleep_for(150ms);
        const auto outcome = callHost(*this, 0, order(id));
        CAPTURE(id, outcome.response.status);
        CHECK(runsOfOrder(id) <= 1);
        if (runsOfOrder(id) == 0)
            continue;
        ++ran;
        // It ran, so the answer must not say that it has not.
        for (const auto promise : {408U, 421U, 429U, 503U})
            CHECK(outcome.response.status != promise);
        if (outcome.response.status == 200)
            CHECK(outcome.response.body == "answer to " + id);
    }
    CHECK(ran > 0);
    const std::lock_guard guard(stateLock);
    CHECK(copies > 0);
}

TEST_CASE_METHOD(hosts_and_slow_callers, "bytes_without_end_end_the_request_with_its_true_outcome")
{
    std::string first;
    std::string repeated(64 * 1024, 'x');
    auto isAnswer = false;
    SECTION("that_are_no_http") { }
    SECTION("in_a_header")
    {
        first = "HTTP/1.1 200 OK\r\nFiller: ";
    }
    SECTION("in_the_size_of_a_chunk")
    {
        first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
    }
    SECTION("in_interim_answers")
    {
        repeated = "HTTP/1.1 100 Continue\r\n\r\n";
    }
    SECTION("in_a_body")
    {
        isAnswer = true;
    }
    std::atomic<int> closed = 0;
    std::mutex arrivedLock;
    std::set<std::string> arrived;
    const auto hasArrived = [&](const std::string &id) {
        const std::lock_guard guard(arrivedLock);
        return arrived.contains(id);
    };
    answerBy([&](raw_connection &connection) {
        {
            const std::lock_guard guard(arrivedLock);
            arrived.insert(rawHeader(connection, "X-Request-Id"));
        }
        auto open = sendAll(connection, isAnswer ? headOf(connection) + "\r\n" : first);
        while (open && !raw.stopping)
            open = sendAll(connection, repeated);
        ++closed;
        return false;
    });
    const auto before = memoryOf(0);
    auto read = caller_call{};
    read.waitMs = 1000;
    const auto outcome = callHost(*this, 0, read);
    CHECK((outcome.failure != http_failure::None || outcome.response.status >= 500));
    // Right after a failure the host leaves its only server alone for a moment, and refuses orders.
    // Such an order must not have reached the server.
    int number = 0;
    waitUntil("an order reaches the server", [&] {
        auto ordered = order("endless-" + std::to_string(number++));
        ordered.waitMs = 1000;
        const auto orderOutcome = callHost(*this, 0, ordered);
        if (!hasArrived(ordered.id)) {
            CHECK(orderOutcome.response.status == 503);
            return false;
        }
        CHECK((orderOutcome.failure != http_failure::None || orderOutcome.response.status == 502
               || orderOutcome.response.status == 504));
        return true;
    });
    waitUntil("the host has closed the connections", [&] { return closed >= 2; });
    CHECK(memoryOf(0) - std::min(before, memoryOf(0)) < 16 * megabyte);
}

} // namespace parsleyloft
