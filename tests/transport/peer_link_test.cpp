// Remote procedure calls between hosts over loopback connections.
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

// Returns a loopback address whose port was free when checked.
auto freeAddress() -> std::string
{
    const auto handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(bound);
    REQUIRE(bind(handle, reinterpret_cast<sockaddr *>(&bound), size) == 0);
    REQUIRE(getsockname(handle, reinterpret_cast<sockaddr *>(&bound), &size) == 0);
    close(handle);
    return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

struct peer_client_and_server
{
    peer_client_and_server() = default;
    ~peer_client_and_server()
    {
        if (server)
            stopPeerServer(*server, 0us);
        stopWorkers(*workers);
    }
    peer_client_and_server(const peer_client_and_server &) = delete;
    auto operator=(const peer_client_and_server &) -> peer_client_and_server & = delete;

    auto listen(peer_handlers handlers) -> void
    {
        server = startPeerServer(*workers, address, std::move(handlers));
        REQUIRE(server);
    }

    auto requestPermit(const std::string &id, duration timeout) -> result<wire::PermitReply>
    {
        wire::PermitRequest request;
        request.set_request_id(id);
        std::promise<result<wire::PermitReply>> promise;
        callRequestPermit(
                client, address, request, timeout,
                [&](result<wire::PermitReply> outcome) { promise.set_value(std::move(outcome)); });
        return promise.get_future().get();
    }

    // Repeats the call until a connection is open.
    auto requestConnected(const std::string &id, duration timeout = 5s) -> result<wire::PermitReply>
    {
        while (true) {
            auto outcome = requestPermit(id, timeout);
            if (outcome || outcome.error().code != error_code::Unreachable)
                return outcome;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    std::string address = freeAddress();
    std::unique_ptr<worker_pool> workers = startWorkers(2);
    peer_client client = makePeerClient(*workers);
    result<peer_server> server = failure(error_code::Unreachable, "not started");
};

// Serves permit requests by returning their request id as the server id.
auto echoHandlers() -> peer_handlers
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

TEST_CASE_METHOD(peer_client_and_server, "concurrent_calls_get_their_own_replies", "[peer]")
{
    listen(echoHandlers());
    REQUIRE(requestConnected("first"));
    std::vector<std::promise<std::string>> replies(200);
    for (std::size_t index = 0; index < replies.size(); ++index) {
        wire::PermitRequest request;
        // Some are larger than the read buffer of a connection.
        request.set_request_id(std::to_string(index) + std::string(index * 100, 'x'));
        callRequestPermit(client, address, request, 5s,
                          [&replies, index](const result<wire::PermitReply> &outcome) {
                              replies[index].set_value(outcome ? outcome->server_id() : "failed");
                          });
    }
    for (std::size_t index = 0; index < replies.size(); ++index)
        CHECK(replies[index].get_future().get()
              == std::to_string(index) + std::string(index * 100, 'x'));
}

TEST_CASE_METHOD(peer_client_and_server, "call_without_a_connection_fails_at_once_as_unreachable",
                 "[peer]")
{
    const auto outcome = requestPermit("unconnected", 5s);
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == error_code::Unreachable);
}

TEST_CASE_METHOD(peer_client_and_server, "call_of_an_unserved_method_fails_as_unreachable",
                 "[peer]")
{
    listen(echoHandlers());
    REQUIRE(requestConnected("first"));
    std::promise<result<wire::SyncReply>> promise;
    callSync(client, address, {}, 5s,
             [&](result<wire::SyncReply> outcome) { promise.set_value(std::move(outcome)); });
    const auto outcome = promise.get_future().get();
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == error_code::Unreachable);
}

TEST_CASE_METHOD(peer_client_and_server,
                 "call_without_a_reply_times_out_and_the_connection_is_replaced", "[peer]")
{
    std::atomic<int> requests = 0;
    auto handlers = echoHandlers();
    const auto echo = handlers.requestPermit;
    std::vector<peer_responder<wire::PermitReply>> responders;
    handlers.requestPermit = [&](const wire::PermitRequest &request,
                                 const peer_responder<wire::PermitReply> &respond) {
        if (++requests == 1)
            responders.push_back(respond);
        else
            echo(request, respond);
    };
    listen(std::move(handlers));
    const auto unanswered = requestConnected("unanswered", 100ms);
    REQUIRE_FALSE(unanswered);
    CHECK(unanswered.error().code == error_code::TimedOut);
    const auto next = requestConnected("next");
    REQUIRE(next);
    CHECK(next->server_id() == "next");
}

TEST_CASE_METHOD(peer_client_and_server,
                 "calls_in_progress_fail_when_the_peer_stops_and_later_calls_reconnect", "[peer]")
{
    std::promise<void> reached;
    peer_handlers handlers;
    std::vector<peer_responder<wire::PermitReply>> responders;
    handlers.requestPermit = [&](const wire::PermitRequest &,
                                 const peer_responder<wire::PermitReply> &respond) {
        responders.push_back(respond);
        reached.set_value();
    };
    listen(std::move(handlers));
    auto waiting = std::async(std::launch::async, [&] { return requestConnected("lost", 30s); });
    reached.get_future().get();
    stopPeerServer(*server, 0us);
    const auto outcome = waiting.get();
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == error_code::Unknown);
    // The port becomes free when the acceptor has closed.
    do {
        server = startPeerServer(*workers, address, echoHandlers());
    } while (!server);
    CHECK(requestConnected("again"));
}

TEST_CASE_METHOD(peer_client_and_server, "permit_return_reaches_the_peer_without_a_reply", "[peer]")
{
    auto handlers = echoHandlers();
    std::promise<std::uint64_t> returned;
    handlers.returnPermit = [&](const wire::PermitReturn &message) {
        returned.set_value(message.permit());
    };
    listen(std::move(handlers));
    wire::PermitReturn permitReturn;
    permitReturn.set_permit(17);
    CHECK_FALSE(sendPermitReturn(client, address, permitReturn));
    REQUIRE(requestConnected("first"));
    CHECK(sendPermitReturn(client, address, permitReturn));
    CHECK(returned.get_future().get() == 17);
}

TEST_CASE_METHOD(peer_client_and_server, "invalid_frame_closes_only_its_own_connection", "[peer]")
{
    listen(echoHandlers());
    const auto parsed = parseEndpoint(address);
    const auto handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(parsed->port);
    REQUIRE(connect(handle, reinterpret_cast<sockaddr *>(&to), sizeof(to)) == 0);
    const std::string junk(64, '\xff');
    REQUIRE(send(handle, junk.data(), junk.size(), MSG_NOSIGNAL) == 64);
    char byte = 0;
    CHECK(recv(handle, &byte, 1, 0) <= 0);
    close(handle);
    CHECK(requestConnected("other"));
}

} // namespace parsleyloft
