// The memory budget of a host as its servers and clients share it.
#pragma once

#include "decisions/memory_budget.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace parsleyloft {

struct held_memory;

struct memory_account
{
    std::mutex lock;
    // All guarded by lock. No other lock is taken while it is held.
    memory_budget budget;
    // The bodies that are being received.
    std::map<holder_number, std::weak_ptr<held_memory>> receiving;
};

using shared_memory_account = std::shared_ptr<memory_account>;

auto makeMemoryAccount(const memory_limits &limits) -> shared_memory_account;

// Memory of one holder. Its bytes are released when the last reference ends.
struct held_memory
{
    held_memory(shared_memory_account shared, holder_number ownNumber);
    ~held_memory();
    held_memory(const held_memory &) = delete;
    auto operator=(const held_memory &) -> held_memory & = delete;

    shared_memory_account account;
    holder_number number = 0;
    // True once the budget no longer contains the holder. What it held must be released.
    std::atomic<bool> evicted = false;
    // Called on any worker, without locks, when the holder is evicted. Not changed after the start.
    std::function<void(holder_number)> onEviction;
};

using shared_memory = std::shared_ptr<held_memory>;

// Memory for a body that is being received.
auto reserveBody(const shared_memory_account &account,
                 std::function<void(holder_number)> onEviction) -> shared_memory;

// Called before bytes are accepted. Returns false if they must not be, because the holder has been
// evicted or has made the least progress. Others may be evicted.
auto growBody(held_memory &memory, std::size_t bytes) -> bool;

// The body has been received. Returns false if it has been evicted.
auto completeBody(held_memory &memory) -> bool;

// True if a response may take this many bytes. Bodies may be evicted for it.
auto mayHoldResponse(const shared_memory_account &account, std::size_t bytes) -> bool;

auto holdResponse(const shared_memory_account &account, std::size_t bytes) -> shared_memory;

} // namespace parsleyloft
