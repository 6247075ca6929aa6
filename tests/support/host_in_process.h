// A host of `parsleyloft serve` in the process of the test, before two backend servers that answer
// byte by byte. It has no leader: the tests set its table.
#pragma once

#include "daemon/daemon.h"
#include "support/child_process.h"
#include "support/raw_backend.h"

#include <atomic>

namespace parsleyloft {

const group_id ordersA{"orders", "a"};
const group_id ordersB{"orders", "b"};
const group_id jobsA{"jobs", "a"};
const group_id jobsB{"jobs", "b"};

// A backend server in each of two domains, for all services. They run a request each time it comes,
// and lose the answers while that is set.
struct two_backends
{
    std::atomic<bool> losesAnswers = false;
    // The status and headers of their answers. Set before the first request.
    std::string answerHead = "200 OK\r\n";
    raw_backend backendA{[this](raw_connection &connection, const std::string &id) {
        return runRequest(backendA, connection, id);
    }};
    raw_backend backendB{[this](raw_connection &connection, const std::string &id) {
        return runRequest(backendB, connection, id);
    }};

    auto runRequest(raw_backend &backend, raw_connection &connection, const std::string &id) const
            -> bool;
};

// Holds the groups of the service "orders", which has keys in one shard, and of "jobs", which has
// none, in both domains. The shard is owned by "orders-a" under sequence 2. The classes "order" and
// "job" may not be repeated.
struct host_that_holds_all_groups : two_backends
{
    host_that_holds_all_groups();
    ~host_that_holds_all_groups();
    host_that_holds_all_groups(const host_that_holds_all_groups &) = delete;
    auto operator=(const host_that_holds_all_groups &) -> host_that_holds_all_groups & = delete;

    port_claim ports;
    std::unique_ptr<worker_pool> workers = startWorkers(1);
    http_client client = makeHttpClient(*workers, 0);
    std::unique_ptr<daemon_process> daemon;
};

auto countRuns(host_that_holds_all_groups &host, const std::string &id) -> int;

auto setOwner(host_that_holds_all_groups &host, const server_id &owner, std::uint64_t sequence,
              assignment_phase phase = assignment_phase::Held) -> void;

auto loseLease(host_that_holds_all_groups &host) -> void;

auto callClass(host_that_holds_all_groups &host, const std::string &className,
               const std::string &id, const header_list &more = {}) -> http_response;

} // namespace parsleyloft
