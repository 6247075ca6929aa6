// The periodic state exchange between a host and its leader. The host sends promises and reports;
// the leader answers with leases and tables.
//
// Each side measures time by its own clock only: the host's lease runs from when it sent the
// request, the leader's licence from its stamps that the members return.
#pragma once

#include "decisions/leadership.h"
#include "decisions/planner.h"

namespace parsleyloft {

// A leader's time stamp that a host sends back as its promise of support.
struct returned_stamp
{
    // The stamp is a reading of this leader's clock and has no meaning on any other host.
    host_id leader;
    term leaderTerm;
    instant stamp{};

    auto operator==(const returned_stamp &) const -> bool = default;
};

// The leadership of the region as one host sees it, and what that host needs while it leads.
struct region_state
{
    leadership_state leadership;
    planner_state planner;
    // The newest table that this leader has published. Hosts may have it.
    assignment_table published;
    // The stamp to return to the leader that this host promised to support.
    std::optional<returned_stamp> stampToReturn;
    host_id leaderHint;
    bool tableWanted = false;
    // When a reply last came from a licensed leader.
    instant lastLeaderContact{};
    // The index of the stored member record when this host last considered replacing it.
    std::uint64_t lastSeenRecordIndex = 0;
    // The term that the planner works in, and when it began to.
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
    // The host's own table, when the leader has requested it.
    std::optional<assignment_table> table;
};

struct exchange_reply
{
    host_id from;
    term highestTerm;
    host_id leader;
    // True when the answering host leads and is licensed. Only then are the fields from stamp to
    // table set.
    bool leading = false;
    instant stamp{};
    // Age of the confirmation of the leader's licence when the reply was made.
    duration confirmationAge{};
    bool leaseGranted = false;
    bool tableWanted = false;
    std::optional<assignment_table> table;
    // Set when the answering host has a newer record than the request reported.
    std::optional<member_record> record;
};

auto newRegion(lease_limits limits, const member &self, std::vector<service_info> services,
               instant now) -> region_state;

// Fill in the two parts of a request: the state of the leadership, and the host's holdings.
auto addLeadership(const region_state &region, exchange_request &request) -> void;
auto addHoldings(holdings_state &holdings, bool tableWanted, instant now, exchange_request &request)
        -> void;

// Answers the request of another host, or of this host itself when it leads.
auto answerExchange(region_state &region, const exchange_request &request, instant now)
        -> exchange_reply;

// Applies a reply to the leadership state. Returns true when it comes from a licensed leader of
// the highest term; the reply is then to be applied to the holdings too.
auto applyReplyToRegion(region_state &region, const exchange_reply &reply, instant now) -> bool;

// Applies the table and the lease of a leader's reply. Returns true when the table was applied.
auto applyReplyToHoldings(holdings_state &holdings, const exchange_reply &reply, instant sentAt,
                          instant now) -> bool;

// Prepares the planner for a new term. Returns true when the planner has not worked in the term
// before.
auto beginLeading(region_state &region, instant now) -> bool;

// True while this host leads and is licensed. Resigns when it was unlicensed for an election
// timeout.
auto checkLeadership(region_state &region, instant now) -> bool;

} // namespace parsleyloft
