// The memory that a host may hold for callers and servers together: which bytes are accepted, and
// which bodies that are being received are evicted for them.
//
// The load: callers outside the operators' control that send many bodies of legal size at once and
// stop just short of their end. Without a bound for all bodies together, 300 of them with a limit
// of 1 MB took a host beyond 200 MB.
#pragma once

#include "core/names.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace parsleyloft {

using holder_number = std::uint64_t;

enum class holder_kind : std::uint8_t {
    // The body of a request, of which more bytes are expected. Only these are evicted.
    ReceivedBody,
    // A request that was read completely. It has a promise of an answer.
    Request,
    Response,
};

inline constexpr name_table<holder_kind, 3> holderKindNames{{
        {holder_kind::ReceivedBody, "received_body"},
        {holder_kind::Request, "request"},
        {holder_kind::Response, "response"},
}};

struct memory_holder
{
    holder_kind kind = holder_kind::ReceivedBody;
    std::size_t bytes = 0;
    instant since{};
    // When it last took bytes.
    instant lastProgress{};
    // Bytes received in the current progress period and in the one before it.
    std::size_t currentProgress = 0;
    std::size_t earlierProgress = 0;
    std::int64_t period = 0;
};

struct memory_limits
{
    // For all holders together.
    std::size_t shared = 0;
    // For one body that is larger than what the others leave of the shared limit, as long as the
    // others hold at most a quarter of the shared limit: a body inside the configuration's limit is
    // served on a host that is otherwise idle.
    std::size_t single = 0;
};

// Invariant: heldBytes is the sum of the bytes of all holders.
struct memory_budget
{
    memory_limits limits;
    std::map<holder_number, memory_holder> holders;
    std::size_t heldBytes = 0;
    holder_number lastNumber = 0;
    // The one body that may exceed the shared limit.
    std::optional<holder_number> largeBody;
};

struct memory_admission
{
    bool admitted = false;
    // Removed from the budget. Their memory must be released.
    std::vector<holder_number> evicted;
};

auto addHolder(memory_budget &budget, holder_kind kind, instant now) -> holder_number;

// Decides whether the holder may take more bytes, and whom to evict for them: bodies that stand
// still and those that made less progress in the last seconds, the one with the least progress
// first. Nobody is evicted if that would not suffice. A holder that was evicted gets no more bytes.
auto growHolder(memory_budget &budget, holder_number number, std::size_t bytes, instant now)
        -> memory_admission;

// Takes bytes that have been received already and cannot be refused.
auto forceHolder(memory_budget &budget, holder_number number, std::size_t bytes) -> void;

// Decides the same for bytes of a response, which are then taken by forceHolder. Only bodies that
// stand still are evicted for it.
auto makeRoom(memory_budget &budget, std::size_t bytes, instant now) -> memory_admission;

// The request was read completely and is not evicted any more. Returns false if it has been.
auto completeBody(memory_budget &budget, holder_number number) -> bool;

auto removeHolder(memory_budget &budget, holder_number number) -> void;

// Bytes per second that the body received in the last seconds, or since its beginning.
auto progressOf(const memory_holder &holder, instant now) -> double;

// True if a server that is sent some bytes of bodies at the moment may be sent a further body. One
// body alone is always sent. The load: many hosts that pass large bodies on to one server.
auto maySendBody(std::size_t bytesUnderWay, std::size_t bodyBytes, std::size_t limit) -> bool;

} // namespace parsleyloft
