// The exchange between a host and its leader: promises and reports one way, leases and
// tables the other.
//
// The host asks and the leader answers, so each side counts times from its own clock
// only: the host's lease from when it asked, the leader's licence from stamps that the
// members return.
#pragma once

#include "decisions/leadership.h"
#include "decisions/planner.h"

namespace parsleyloft {

// A leader's stamp that a host returns as its promise of support.
struct returned_stamp
{
    // The stamp is a reading of this host's clock and means nothing to any other.
    host_id leader;
    term leaderTerm;
    instant stamp{};

    auto operator==(const returned_stamp &) const -> bool = default;
};

// What one host knows of its region's leadership, and what it needs when it leads.
struct region_state
{
    leadership_state leadership;
    planner_state planner;
    // The table that hosts may have, as this leader gave it out.
    assignment_table published;
    // The stamp to return to the leader that this host promised to support.
    std::optional<returned_stamp> stampToReturn;
    host_id leaderHint;
    bool tableWanted = false;
    // When a leader last gave its word, by any host's answer.
    instant lastLeaderContact{};
    // The index of the stored member record when this host last thought of replacing it.
    std::uint64_t lastSeenRecordIndex = 0;
    // The term that the planner works in, and since when.
    term plannerTerm;
    instant plannerTermStart{};
};

struct exchange_request
{
    host_report report;
    term highestTerm;
    std::optional<returned_stamp> returnedStamp;
    std::uint64_t recordVersion = 0;
    term tableTerm;
    std::uint64_t tableVersion = 0;
    // The host's own table, when the leader has asked for it.
    std::optional<assignment_table> table;
};

struct exchange_reply
{
    host_id from;
    term highestTerm;
    host_id leader;
    // True when the answering host leads and is licensed; the next fields hold then.
    bool leading = false;
    instant stamp{};
    // Age of the licence's confirmation when the answer was made.
    duration confirmationAge{};
    bool leaseGranted = false;
    bool tableWanted = false;
    std::optional<assignment_table> table;
    // Set when the answering host knows a newer one.
    std::optional<member_record> record;
};

auto newRegion(lease_limits limits, const member &self, std::vector<service_info> services,
               instant now) -> region_state;

// The two parts of a request, from the tables that hold them.
auto addLeadership(const region_state &region, exchange_request &request) -> void;
auto addHoldings(holdings_state &holdings, bool tableWanted, instant now, exchange_request &request)
        -> void;

// Answers another host, or this host itself when it leads.
auto answerExchange(region_state &region, const exchange_request &request, instant now)
        -> exchange_reply;

// Takes an answer in. Returns true when it is the word of a leader that counts; the
// holdings take it then.
auto applyReplyToRegion(region_state &region, const exchange_reply &reply, instant now) -> bool;

// Takes a leader's table and lease. Returns true when the table was taken.
auto applyReplyToHoldings(holdings_state &holdings, const exchange_reply &reply, instant sentAt,
                          instant now) -> bool;

// Prepares the planner for a new term. Returns true when the term has just begun.
auto beginLeading(region_state &region, instant now) -> bool;

// True while this host leads and is licensed. Gives the leadership up when it was without
// a licence for long.
auto checkLeadership(region_state &region, instant now) -> bool;

} // namespace parsleyloft
