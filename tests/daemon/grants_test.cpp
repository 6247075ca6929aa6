// The grants that one host of `parsleyloft serve` gives to its backend servers.
#include "support/host_in_process.h"

#include <catch2/catch.hpp>

#include <thread>

namespace parsleyloft {

namespace {

// Refuses every grant that leaves the shard out, so that the owner still holds the shard. Before
// that, it sends a copy of the last reply that the connection has carried, if any.
struct shard_keeper
{
    auto answer(raw_connection &connection, const wire::GrantRequest &grant) -> bool
    {
        const std::lock_guard guard(lock);
        auto &last = replies[connection.number];
        const auto dropsShard = grant.until_us() != 0 && grant.shards_size() == 0;
        if (!releasing || !dropsShard) {
            granted = granted || grant.shards_size() > 0;
            last = grantResponse(grant, true);
            return sendAll(connection, last);
        }
        ++refusals;
        if (!last.empty()) {
            sendAll(connection, last);
            std::this_thread::sleep_for(30ms);
        }
        return sendAll(connection, grantResponse(grant, false));
    }

    std::mutex lock;
    // Guarded by lock. The last reply by connection.
    std::map<int, std::string> replies;
    std::atomic<bool> granted = false;
    std::atomic<bool> releasing = false;
    std::atomic<int> refusals = 0;
};

struct owner_that_keeps_its_shard
    : shard_keeper
    , host_that_holds_all_groups
{
    owner_that_keeps_its_shard()
    {
        const std::lock_guard guard(backendA.lock);
        backendA.grant = [this](raw_connection &connection, const wire::GrantRequest &grant) {
            return answer(connection, grant);
        };
    }
};

} // namespace

// Guards against two owners: the second copy of an earlier reply comes where the reply to the grant
// that leaves a shard out is due, and the host reports the shard as released.
TEST_CASE_METHOD(owner_that_keeps_its_shard,
                 "shard_is_not_released_by_the_copy_of_an_earlier_reply", "[daemon]")
{
    waitUntil("the owner holds the shard", [&] { return granted.load(); });
    releasing = true;
    setOwner(*this, "orders-a", 2, assignment_phase::Releasing);
    waitUntil("grants without the shard were refused", [&] { return refusals >= 6; });
    const std::lock_guard guard(daemon->holdings.lock);
    CHECK(daemon->holdings.state.releasedShards.empty());
}

} // namespace parsleyloft
