// Ownership of the keys of one service: the stored table of owners, and the ownership manager with
// which the leading host sends grants and releases to servers. decisions/ownership_plan decides the
// owners.
//
// A new owner is stored in the table before it receives a grant. It receives the grant only when
// the previous owner can no longer hold the keys: it released them, another server has answered at
// its address, or its last grant has expired. The fence rises with each new owner. A release
// carries the fence of the new owner: from then on the previous owner rejects every earlier grant
// that takes effect late, whichever leader sent it.
#pragma once

#include "core/error.h"
#include "core/store_position.h"
#include "decisions/key_balance.h"
#include "decisions/server_directory.h"

namespace parsleyloft {

using fence_number = std::uint64_t;

enum class slice_phase : std::uint8_t {
    // The keys have no owner.
    Vacant = 0,
    // The owner is decided, but the previous owner may still hold the keys.
    Pending = 1,
    // The owner has received a grant of the keys.
    Held = 2,
};

inline constexpr name_table<slice_phase, 3> slicePhaseNames{{
        {slice_phase::Vacant, "vacant"},
        {slice_phase::Pending, "pending"},
        {slice_phase::Held, "held"},
}};

// One incarnation of a server as an owner. An empty id stands for no owner. The address is the one
// to which its grants go; later entries do not change it.
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
    // The server that may still hold the keys while the phase is Pending.
    key_owner previous;

    auto operator==(const key_slice &) const -> bool = default;
};

// What a table may lack because the store has come back from an older copy of itself.
enum class lost_decisions : std::uint8_t {
    None = 0,
    // Decisions of less than a hold. An owner that was replaced in that time has been sent a
    // release, and rejects grants with its old fence.
    Recent = 1,
    // Any decisions. Owners may have been given up without a release, because their grants had
    // expired.
    Any = 2,
};

inline constexpr name_table<lost_decisions, 3> lostDecisionsNames{{
        {lost_decisions::None, "none"},
        {lost_decisions::Recent, "recent"},
        {lost_decisions::Any, "any"},
}};

// Invariant: the slices are sorted and cover each key exactly once, or there are none. No two
// owners ever have the same fence on one key.
struct ownership_table
{
    service_name service;
    // Tables of a service are ordered by the revision of the leader's key under which they were
    // written, then by their sequence number.
    store_position leaderRevision;
    std::uint64_t sequence = 0;
    // The fence of the owners that the next change of the table assigns, each on other keys.
    fence_number nextFence = 1;
    std::vector<key_slice> slices;
    // Stored, so that a leader whose predecessor was still waiting for lost grants waits too.
    lost_decisions lost = lost_decisions::None;

    auto operator==(const ownership_table &) const -> bool = default;
};

// True when left is newer than right.
auto isLater(const ownership_table &left, const ownership_table &right) -> bool;

auto findSlice(const ownership_table &table, key_number key) -> const key_slice *;

// How long a range of keys without a usable owner is expected to stay without one.
enum class owner_wait : std::uint8_t {
    // The previous owner is releasing the keys, or no server holds them.
    Short,
    // The leader has not decided on an owner yet.
    Unknown,
    // The previous owner is unresponsive, so its last grant has to expire first.
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
    // How long a grant is valid at the server, from its arrival.
    duration hold = 10s;
    // Time from the last answer to the renewal of a grant. The urgent time applies when the
    // leader may have to stop leading before the next regular renewal.
    duration renewAfter = 2500ms;
    duration urgentRenewAfter = 700ms;
    // Time after which a failed or unanswered grant or release is sent again.
    duration retryAfter = 500ms;
    // Time after which a grant call is abandoned. The grant may still arrive until then.
    duration callTimeout = 1s;
    // How much longer a hold may last by the server's clock than by the host's, in thousandths.
    std::int64_t clockRatePermille = 20;
    // Margin on top of a hold, for clock resolution and network delay.
    duration holdSlack = 200ms;
    // Slices for each server when the table is first created. Each slice costs a renewal.
    std::uint32_t slicesPerServer = 4;
    // Slices are no longer split once there are this many for each server.
    std::uint32_t maxSlicesPerServer = 14;
    // Concurrent moves for load balancing. More are allowed when there are many servers.
    std::uint32_t maxConcurrentMoves = 3;
};

// An upper bound on how long a grant that is sent now can be valid.
auto longestHold(const ownership_limits &limits) -> duration;

enum class order_kind : std::uint8_t { Grant, Release };

inline constexpr name_table<order_kind, 2> orderKindNames{{
        {order_kind::Grant, "grant"},
        {order_kind::Release, "release"},
}};

// The leading host's state of one slice, beside the table. Not stored: it is lost when the
// leadership ends.
struct slice_state
{
    // Upper bounds on the validity of every grant to the owner and to the previous owner.
    instant ownerGrantEnds{};
    instant previousGrantEnds{};
    instant nextOrderAt{};
    instant grantedAt{};
    std::optional<order_kind> inFlight;
    // Grants to the previous owner may be under way until then; instant::max() while a call of this
    // leader is. The keys are released only after it: such a grant could reach the server after it
    // has answered the release and has started again.
    instant earlierGrantsEnd{};
    // The owner has confirmed a grant.
    bool granted = false;
    // The previous owner has confirmed the release, with the handover for the next owner.
    bool released = false;
    std::string handover;
    // The owner has seen a higher fence: a decision that the stored table lacks gave the keys on.
    bool superseded = false;
    // Upper bound on the validity of grants that follow from such decisions. An owner that this
    // leader assigns receives no grant before newOwnerFrom, which is taken from it.
    instant lostGrantEnds{};
    instant newOwnerFrom{};
};

// Decides the owners of one service's keys while this host leads.
struct ownership_manager
{
    ownership_limits limits;
    ownership_table table;
    // By first key. Invariant: one entry for each slice of the table.
    std::map<key_number, slice_state> states;
    // The first table is created, and load is balanced, only from this instant on.
    instant balanceFrom{};
    // An owner that confirms its grant from this instant on has not been replaced by a decision
    // that the stored table lacks.
    instant lostDecisionsEnd{};
};

// True when the previous owner can no longer hold the keys of a pending slice: see "What a leader
// may conclude about a holder" in docs/PLATFORM.md.
auto isPreviousOwnerDone(const key_slice &slice, const slice_state &state, instant now) -> bool;

// A grant or release to send to a server.
struct key_order
{
    order_kind kind = order_kind::Grant;
    key_owner server;
    key_number from = 0;
    key_number to = 0;
    // The new owner's fence, in a release too.
    fence_number fence = 0;
    duration hold = 0us;
    // Data from the previous owner, passed on with the first grant.
    std::string handover;
};

enum class order_result : std::uint8_t {
    Done,
    FenceTooLow,
    // Another server has the address.
    OtherServer,
    Refused,
    Unanswered,
    NotSent,
};

inline constexpr name_table<order_result, 6> orderResultNames{{
        {order_result::Done, "done"},
        {order_result::FenceTooLow, "fence_too_low"},
        {order_result::OtherServer, "other_server"},
        {order_result::Refused, "refused"},
        {order_result::Unanswered, "unanswered"},
        {order_result::NotSent, "not_sent"},
}};

// Starts with a table read from the store. Assumes that the previous leader may have sent grants
// until now.
auto makeOwnershipManager(const ownership_limits &limits, ownership_table table,
                          store_position leaderRevision, instant now) -> ownership_manager;

// What a table that was known to be the latest one this long ago may lack.
auto lostDecisionsFor(const ownership_limits &limits, duration tableAge) -> lost_decisions;

// The lowest fence that may be assigned under a leader's claim. Fences are not reused, although the
// store may have lost the table with the highest one: each stored table adds at most one fence and
// one revision, so those of earlier claims in the era are below the revision of this one.
auto firstFenceOf(store_position claim) -> fence_number;

// Like makeOwnershipManager, after the store has come back from an older copy: with the latest
// table that is known. The previous leader may not know of the new era and send orders until
// previousLeaderEnds.
auto recoverOwnershipManager(const ownership_limits &limits, ownership_table table,
                             store_position leaderRevision, lost_decisions lost,
                             instant previousLeaderEnds, instant now) -> ownership_manager;

// For a manager without a table, when an earlier era of the store may have had one. Servers may
// hold keys by grants that were sent until previousLeaderEnds: the first table is created when
// these have expired.
auto awaitLostGrants(ownership_manager &manager, instant previousLeaderEnds) -> void;

// How soon grants are renewed: regularly, or early because the leader may have to stop.
enum class renewal_pace { Steady, BeforeStopping };

inline constexpr name_table<renewal_pace, 2> renewalPaceNames{{
        {renewal_pace::Steady, "steady"},
        {renewal_pace::BeforeStopping, "before_stopping"},
}};

// The grants and releases that are due. Each is marked as in flight until recordOrderResult.
auto dueOrders(ownership_manager &manager, const server_directory &directory, renewal_pace pace,
               instant now) -> std::vector<key_order>;

// Returns whether the new owner of a pending slice has confirmed its first grant.
auto recordOrderResult(ownership_manager &manager, const key_order &order, order_result result,
                       const std::string &handover, instant now) -> bool;

// Marks the slices whose new owner has confirmed its grant as held. Returns whether there were any.
// This need not be stored: a later leader that reads a slice as pending sends the release to the
// previous owner again.
auto markHeld(ownership_manager &manager) -> bool;

// Marks the table as complete once the grants of lost decisions have expired. Returns whether it
// has changed. A later leader that reads it as incomplete waits again.
auto settleLostDecisions(ownership_manager &manager, instant now) -> bool;

// Adopts a planned table after it was written to the store. Returns false, and adopts nothing, if
// the table is of another claim: a write of an earlier era that the store has carried out late.
auto applyStoredTable(ownership_manager &manager, ownership_table stored, instant now) -> bool;

} // namespace parsleyloft
