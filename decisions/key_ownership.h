// Who owns which keys of one service: the stored table, and what the leading host does with it.
//
// A new owner is written to the table before it is granted anything, and is granted only
// once the owner before it can't hold the keys any more: it released them, its last grant
// has run out, or its life is over. Fences rise with each new owner, so a server refuses
// what was overtaken.
#pragma once

#include "core/error.h"
#include "decisions/key_balance.h"
#include "decisions/server_directory.h"

namespace parsleyloft {

using fence_number = std::uint64_t;

enum class slice_phase : std::uint8_t {
    // Nobody owns the keys.
    Vacant = 0,
    // The owner is decided, but an earlier one may still hold the keys.
    Pending = 1,
    // The owner has been granted the keys.
    Held = 2,
};

inline constexpr name_table<slice_phase, 3> slicePhaseNames{{
        {slice_phase::Vacant, "vacant"},
        {slice_phase::Pending, "pending"},
        {slice_phase::Held, "held"},
}};

// One life of a server as an owner. An empty id stands for nobody.
struct key_owner
{
    server_id id;
    std::int64_t startTimeMs = 0;
    endpoint address;

    auto operator==(const key_owner &) const -> bool = default;
};

struct key_slice
{
    key_number from = 0;
    key_number to = 0;
    slice_phase phase = slice_phase::Vacant;
    key_owner owner;
    fence_number fence = 0;
    // Who may still hold the keys while the phase is Pending.
    key_owner previous;
    fence_number previousFence = 0;

    auto operator==(const key_slice &) const -> bool = default;
};

// Invariant: the slices are sorted and cover all keys once, or there are none. No two
// owners ever had the same fence on one key.
struct ownership_table
{
    service_name service;
    // Order the tables of a service: by the leadership that made them, then by their number.
    std::uint64_t leaderRevision = 0;
    std::uint64_t sequence = 0;
    fence_number nextFence = 1;
    std::vector<key_slice> slices;

    auto operator==(const ownership_table &) const -> bool = default;
};

// True when left was made after right.
auto isLater(const ownership_table &left, const ownership_table &right) -> bool;

auto findSlice(const ownership_table &table, key_number key) -> const key_slice *;

// When a range of keys without a usable owner will have one again.
enum class owner_wait : std::uint8_t {
    // The owner before is being asked to release, or nobody held the keys.
    Short,
    // The leader has not decided yet.
    Unknown,
    // The owner before is silent: its last grant has to run out.
    Long,
};

inline constexpr name_table<owner_wait, 3> ownerWaitNames{{
        {owner_wait::Short, "short"},
        {owner_wait::Unknown, "unknown"},
        {owner_wait::Long, "long"},
}};

auto expectedOwnerWait(const key_slice &slice, const server_directory &directory) -> owner_wait;

struct ownership_limits
{
    // How long a grant lasts at the server, from its arrival.
    duration hold = 10s;
    // A grant is renewed so long after the last answer, and sooner when the leader may have to
    // stop before the next renewal.
    duration renewAfter = 2500ms;
    duration urgentRenewAfter = 700ms;
    // An unanswered grant or release is sent again after this.
    duration retryAfter = 500ms;
    // A grant call is given up after this; it may still arrive until then.
    duration callTimeout = 1s;
    // How much longer a hold may last by the server's clock, in thousandths.
    std::int64_t clockRatePermille = 20;
    // Slack on top of a hold, for what the clocks and the way add.
    duration holdSlack = 200ms;
    // Slices that a server gets when the table is first made. Each slice costs a renewal.
    std::uint32_t slicesPerServer = 4;
    // Slices for each server beyond which none is cut any more.
    std::uint32_t maxSlicesPerServer = 14;
    // Moves under way at a time to even out the load; more where there are many servers.
    std::uint32_t maxConcurrentMoves = 3;
};

// The longest that a grant sent now can be valid.
auto longestHold(const ownership_limits &limits) -> duration;

// What the leading host knows beside the table. Lost with its leadership.
struct slice_state
{
    // No grant to the owner, or to the one before it, lasts longer.
    instant ownerEnds{};
    instant previousEnds{};
    // A grant without an answer may still be carried out until it ends.
    instant unansweredEnds{};
    instant nextOrder{};
    instant grantedAt{};
    bool underWay = false;
    // A grant to the previous owner is under way; a release would overtake it.
    bool previousUnderWay = false;
    bool granted = false;
    bool released = false;
    std::string handover;
};

struct ownership_manager
{
    ownership_limits limits;
    ownership_table table;
    // By first key. Invariant: one entry for each slice of the table.
    std::map<key_number, slice_state> states;
    // The table is first made, and evened out, only after this.
    instant settledAt{};
};

enum class order_kind : std::uint8_t { Grant, Release };

inline constexpr name_table<order_kind, 2> orderKindNames{{
        {order_kind::Grant, "grant"},
        {order_kind::Release, "release"},
}};

struct key_order
{
    order_kind kind = order_kind::Grant;
    key_owner server;
    key_number from = 0;
    key_number to = 0;
    fence_number fence = 0;
    duration hold = 0us;
    std::string handover;
};

enum class order_result : std::uint8_t { Done, FenceTooLow, Refused, Unanswered, NotSent };

inline constexpr name_table<order_result, 5> orderResultNames{{
        {order_result::Done, "done"},
        {order_result::FenceTooLow, "fence_too_low"},
        {order_result::Refused, "refused"},
        {order_result::Unanswered, "unanswered"},
        {order_result::NotSent, "not_sent"},
}};

// Takes a table over from the store: grants of the leader before may have been sent until now.
auto makeOwnershipManager(const ownership_limits &limits, ownership_table table,
                          std::uint64_t leaderRevision, instant now) -> ownership_manager;

enum class renewal_pace { Steady, BeforeStopping };

inline constexpr name_table<renewal_pace, 2> renewalPaceNames{{
        {renewal_pace::Steady, "steady"},
        {renewal_pace::BeforeStopping, "before_stopping"},
}};

// The orders that are due. Each is marked as under way until its end is noted.
auto dueOrders(ownership_manager &keeper, const server_directory &directory, renewal_pace pace,
               instant now) -> std::vector<key_order>;

auto recordOrderResult(ownership_manager &keeper, const key_order &order, order_result ended,
                       const std::string &handover, instant now) -> void;

// The table that should be written next, or nothing when the present one stands.
auto planOwnership(const ownership_manager &keeper, const server_directory &directory,
                   const key_load &load, instant now) -> std::optional<ownership_table>;

// Marks the slices whose new owner has been granted its keys. Returns whether there were any.
// They need not be stored: a later leader that reads them as pending asks the owner before
// them to release once more.
auto markHeld(ownership_manager &keeper) -> bool;

// The planned table is in the store.
auto applyStoredTable(ownership_manager &keeper, ownership_table stored, instant now) -> void;

} // namespace parsleyloft
