// Calls between hosts over loopback.
#include "transport/peer_link.h"

#include "core/endpoint.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace parsleyloft {

namespace {

// A port that was free a moment ago.
auto freeAddress() -> std::string
{
    const auto handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(at);
    REQUIRE(bind(handle, reinterpret_cast<sockaddr *>(&at), size) == 0);
    REQUIRE(getsockname(handle, reinterpret_cast<sockaddr *>(&at), &size) == 0);
    close(handle);
    return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

struct two_peers
{
    two_peers() = default;
    ~two_peers()
    {
        if (server)
            stopPeerServer(*server, 0us);
        stopWorkers(*workers);
    }
    two_peers(const two_peers &) = delete;
    auto operator=(const two_peers &) -> two_peers & = delete;

    auto listen(peer_handlers handlers) -> void
    {
        server = startPeerServer(*workers, address, std::move(handlers));
        REQUIRE(server);
    }

    auto ask(const std::string &id, duration timeout) -> result<wire::PermitReply>
    {
        wire::PermitRequest request;
        request.set_request_id(id);
        std::promise<result<wire::PermitReply>> promise;
        callRequestPermit(client, address, request, timeout, [&](result<wire::PermitReply> ended) {
            promise.set_value(std::move(ended));
        });
        return promise.get_future().get();
    }

    // Asks until a connection stands.
    auto askConnected(const std::string &id, duration timeout = 5s) -> result<wire::PermitReply>
    {
        while (true) {
            auto ended = ask(id, timeout);
            if (ended || ended.error().code != error_code::Unreachable)
                return ended;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    std::string address = freeAddress();
    std::unique_ptr<worker_pool> workers = startWorkers(2);
    peer_client client = makePeerClient(*workers);
    result<peer_server> server = failure(error_code::Unreachable, "not started");
};

auto echoing() -> peer_handlers
{
    peer_handlers handlers;
    handlers.requestPermit = [](const wire::PermitRequest &request,
                                const peer_responder<wire::PermitReply> &respond) {
        wire::PermitReply reply;
        reply.set_server_id(request.request_id());
        respond(reply);
    };
    return handlers;
}

} // namespace

TEST_CASE_METHOD(two_peers, "calls_at_once_get_their_own_replies", "[peer]")
{
    listen(echoing());
    REQUIRE(askConnected("first"));
    std::vector<std::promise<std::string>> ends(200);
    for (std::size_t index = 0; index < ends.size(); ++index) {
        wire::PermitRequest request;
        // Some are larger than what one read takes.
        request.set_request_id(std::to_string(index) + std::string(index * 100, 'x'));
        callRequestPermit(client, address, request, 5s,
                          [&ends, index](const result<wire::PermitReply> &ended) {
                              ends[index].set_value(ended ? ended->server_id() : "failed");
                          });
    }
    for (std::size_t index = 0; index < ends.size(); ++index)
        CHECK(ends[index].get_future().get()
              == std::to_string(index) + std::string(index * 100, 'x'));
}

TEST_CASE_METHOD(two_peers, "call_without_a_connection_fails_at_once_as_unreachable", "[peer]")
{
    const auto ended = ask("nobody", 5s);
    REQUIRE_FALSE(ended);
    CHECK(ended.error().code == error_code::Unreachable);
}

TEST_CASE_METHOD(two_peers, "method_that_is_not_served_is_unreachable", "[peer]")
{
    listen(echoing());
    REQUIRE(askConnected("first"));
    std::promise<result<wire::SyncReply>> promise;
    callSync(client, address, {}, 5s,
             [&](result<wire::SyncReply> ended) { promise.set_value(std::move(ended)); });
    const auto ended = promise.get_future().get();
    REQUIRE_FALSE(ended);
    CHECK(ended.error().code == error_code::Unreachable);
}

TEST_CASE_METHOD(two_peers, "call_without_a_reply_times_out_and_the_next_gets_a_new_connection",
                 "[peer]")
{
    std::atomic<int> asked = 0;
    auto handlers = echoing();
    const auto echo = handlers.requestPermit;
    std::vector<peer_responder<wire::PermitReply>> kept;
    handlers.requestPermit = [&](const wire::PermitRequest &request,
                                 const peer_responder<wire::PermitReply> &respond) {
        if (++asked == 1)
            kept.push_back(respond);
        else
            echo(request, respond);
    };
    listen(std::move(handlers));
    const auto silent = askConnected("silent", 100ms);
    REQUIRE_FALSE(silent);
    CHECK(silent.error().code == error_code::TimedOut);
    const auto next = askConnected("next");
    REQUIRE(next);
    CHECK(next->server_id() == "next");
}

TEST_CASE_METHOD(two_peers, "calls_under_way_fail_when_the_peer_stops_and_later_ones_reconnect",
                 "[peer]")
{
    std::promise<void> reached;
    peer_handlers handlers;
    std::vector<peer_responder<wire::PermitReply>> kept;
    handlers.requestPermit = [&](const wire::PermitRequest &,
                                 const peer_responder<wire::PermitReply> &respond) {
        kept.push_back(respond);
        reached.set_value();
    };
    listen(std::move(handlers));
    auto waiting = std::async(std::launch::async, [&] { return askConnected("lost", 30s); });
    reached.get_future().get();
    stopPeerServer(*server, 0us);
    const auto ended = waiting.get();
    REQUIRE_FALSE(ended);
    CHECK(ended.error().code == error_code::Unknown);
    // The port is free once the acceptor has closed.
    do {
        server = startPeerServer(*workers, address, echoing());
    } while (!server);
    CHECK(askConnected("again"));
}

TEST_CASE_METHOD(two_peers, "permit_that_is_returned_reaches_the_peer_without_a_reply", "[peer]")
{
    auto handlers = echoing();
    std::promise<std::uint64_t> returned;
    handlers.returnPermit = [&](const wire::PermitReturn &told) {
        returned.set_value(told.permit());
    };
    listen(std::move(handlers));
    wire::PermitReturn told;
    told.set_permit(17);
    CHECK_FALSE(sendPermitReturn(client, address, told));
    REQUIRE(askConnected("first"));
    CHECK(sendPermitReturn(client, address, told));
    CHECK(returned.get_future().get() == 17);
}

TEST_CASE_METHOD(two_peers, "bytes_that_are_no_frame_end_the_connection_and_harm_no_other",
                 "[peer]")
{
    listen(echoing());
    const auto at = parseEndpoint(address);
    const auto handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(at->port);
    REQUIRE(connect(handle, reinterpret_cast<sockaddr *>(&to), sizeof(to)) == 0);
    const std::string junk(64, '\xff');
    REQUIRE(send(handle, junk.data(), junk.size(), MSG_NOSIGNAL) == 64);
    char byte = 0;
    CHECK(recv(handle, &byte, 1, 0) <= 0);
    close(handle);
    CHECK(askConnected("other"));
}

} // namespace parsleyloft
