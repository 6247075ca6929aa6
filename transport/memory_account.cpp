// The memory budget of a host as its servers and clients share it.
#include "transport/memory_account.h"

#include "transport/worker_pool.h"

namespace parsleyloft {

namespace {

// Takes the evicted holders from the list of bodies. Requires the lock.
auto takeEvicted(memory_account &account, const std::vector<holder_number> &numbers)
        -> std::vector<shared_memory>
{
    std::vector<shared_memory> evicted;
    for (const auto number : numbers) {
        const auto found = account.receiving.find(number);
        if (found == account.receiving.end())
            continue;
        if (auto memory = found->second.lock()) {
            memory->evicted = true;
            evicted.push_back(std::move(memory));
        }
        account.receiving.erase(found);
    }
    return evicted;
}

// Called without the lock, which the end of a holder takes.
auto notifyEvicted(const std::vector<shared_memory> &evicted) -> void
{
    for (const auto &memory : evicted)
        memory->onEviction(memory->number);
}

} // namespace

held_memory::held_memory(shared_memory_account shared, holder_number ownNumber)
    : account(std::move(shared))
    , number(ownNumber)
{ }

held_memory::~held_memory()
{
    const std::lock_guard guard(account->lock);
    removeHolder(account->budget, number);
    account->receiving.erase(number);
}

auto makeMemoryAccount(const memory_limits &limits) -> shared_memory_account
{
    auto account = std::make_shared<memory_account>();
    account->budget.limits = limits;
    return account;
}

auto reserveBody(const shared_memory_account &account,
                 std::function<void(holder_number)> onEviction) -> shared_memory
{
    const std::lock_guard guard(account->lock);
    const auto number = addHolder(account->budget, holder_kind::ReceivedBody, monotonicNow());
    auto memory = std::make_shared<held_memory>(account, number);
    memory->onEviction = std::move(onEviction);
    account->receiving[number] = memory;
    return memory;
}

auto growBody(held_memory &memory, std::size_t bytes) -> bool
{
    auto &account = *memory.account;
    std::vector<shared_memory> evicted;
    auto admitted = false;
    {
        const std::lock_guard guard(account.lock);
        auto admission = growHolder(account.budget, memory.number, bytes, monotonicNow());
        admitted = admission.admitted;
        evicted = takeEvicted(account, admission.evicted);
    }
    notifyEvicted(evicted);
    return admitted;
}

auto completeBody(held_memory &memory) -> bool
{
    const std::lock_guard guard(memory.account->lock);
    memory.account->receiving.erase(memory.number);
    return completeBody(memory.account->budget, memory.number);
}

auto mayHoldResponse(const shared_memory_account &account, std::size_t bytes) -> bool
{
    std::vector<shared_memory> evicted;
    auto admitted = false;
    {
        const std::lock_guard guard(account->lock);
        auto admission = makeRoom(account->budget, bytes, monotonicNow());
        admitted = admission.admitted;
        evicted = takeEvicted(*account, admission.evicted);
    }
    notifyEvicted(evicted);
    return admitted;
}

auto holdResponse(const shared_memory_account &account, std::size_t bytes) -> shared_memory
{
    const std::lock_guard guard(account->lock);
    const auto number = addHolder(account->budget, holder_kind::Response, monotonicNow());
    forceHolder(account->budget, number, bytes);
    return std::make_shared<held_memory>(account, number);
}

} // namespace parsleyloft
