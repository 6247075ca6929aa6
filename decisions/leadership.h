// Leader election of a region by promises of the member hosts.
//
// A host becomes leader of a term once a majority of the members consented to it. It acts as
// leader only while it is licensed: a majority has promised, in answer to requests sent within
// the last licence length, to support no other leader for one licence length. Hosts store no
// promises. The member record is kept in the platform's key-value service. A restarted host has
// lost its promises, so it counts towards a majority again only under its new start number.
#pragma once

#include "core/identifiers.h"
#include "core/limits.h"
#include "core/names.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace parsleyloft {

enum class leadership_role { Follower, Candidate, Leader };

inline constexpr name_table<leadership_role, 3> leadershipRoleNames{{
        {leadership_role::Follower, "follower"},
        {leadership_role::Candidate, "candidate"},
        {leadership_role::Leader, "leader"},
}};

struct member
{
    host_id host;
    start_number start = 0;
    domain_id domain;

    auto operator==(const member &) const -> bool = default;
};

// Invariant: two records whose versions differ by one have member sets whose host ids
// differ by at most one, so any majority of one meets any majority of the other.
struct member_record
{
    std::uint64_t version = 0;
    // The term of the leader that wrote the record.
    term leaderTerm;
    host_id leader;
    std::vector<member> members;

    auto operator==(const member_record &) const -> bool = default;
};

struct leadership_state
{
    lease_limits limits;
    host_id self;
    start_number start = 0;
    domain_id domain;
    instant started{};
    // True once this process has read the record from the key-value service.
    bool recordRead = false;
    member_record record;
    // Leader only: the next record, until the key-value service has confirmed its write.
    std::optional<member_record> pendingRecord;
    // Invariant: never falls. Requests in lower terms are refused.
    term highestTerm;
    // Invariant: never falls, and this host consented to at most one host in this term.
    term lastConsentTerm;
    // The host to which the current promise was made.
    host_id supportedHost;
    // Invariant: before this instant only the supported host gets a promise.
    instant promisedUntil{};
    // True while this host has promised support to itself but has not led on that promise. No
    // lease depends on such a promise, so it may be given to another host instead.
    bool selfPromiseUnused = false;
    // The election timeout runs from here: the start of this process, its last contact with the
    // supported host, or its resignation.
    instant electionTimerStart{};
    leadership_role role = leadership_role::Follower;
    // Candidate and leader: when consent was requested, and the start number under which each
    // consenting host gave it.
    instant consentRequestedAt{};
    std::map<host_id, start_number> consents;
    // Leader only: the newest stamp that each member returned in this term.
    std::map<host_id, instant> confirmations;
    // Leader only: the newest version of the record that each host reported.
    std::map<host_id, std::uint64_t> memberRecordVersions;
    // Leader only: owners don't change before this instant, because leases of earlier leaders
    // may still run.
    instant changesFrozenUntil{};
};

struct consent_request
{
    host_id candidate;
    term requestedTerm;
    member_record record;
};

struct consent_reply
{
    host_id from;
    start_number start = 0;
    bool granted = false;
    term highestTerm;
    member_record record;
};

// A host that takes part in the region, as the leader sees it.
struct host_status
{
    member identity;
    bool alive = false;
    bool leaving = false;
};

auto newLeadership(const lease_limits &limits, const member &self, instant now) -> leadership_state;

auto isMember(const member_record &record, const host_id &host, start_number start) -> bool;

// Replaces the record by one read from a peer or the key-value service if that is newer.
auto adoptNewerRecord(leadership_state &state, const member_record &record) -> void;

// True when a host that doesn't lead has had no contact with a leader for its election timeout.
auto isElectionDue(const leadership_state &state, instant now) -> bool;

// Starts a candidacy. With a generation from the key-value service, the requested term is the
// first one of that generation; without, it is the next ballot of the present generation.
// Returns nothing while a promise to another host is in force, while promises of an earlier
// process of this host may be, without a generation if this host is no member, and when the term
// is below the highest one seen or not above the last one consented in.
auto becomeCandidate(leadership_state &state, instant now, std::optional<std::uint32_t> generation)
        -> std::optional<consent_request>;

// Consents to a candidate whose record is not outdated if the requested term is new and this host
// has no promise to another host in force. The record has to list this process, or the term has to
// start a generation and this process has to have read the record in the key-value service.
auto decideConsent(leadership_state &state, const consent_request &request, instant now)
        -> consent_reply;

// Handles the reply to a consent request. Returns true when it made this candidate the leader.
auto handleConsentReply(leadership_state &state, const consent_reply &reply, instant now) -> bool;

// Called on a reply of a licensed leader. Returns true when this host now promises to support it.
auto promiseSupport(leadership_state &state, const host_id &leader, term leaderTerm, instant now)
        -> bool;

// Records a stamp of this leader that a host returned, and the version of the record it has.
auto recordConfirmation(leadership_state &state, const host_id &host, start_number start,
                        instant stamp, std::uint64_t recordVersion) -> void;

// The latest instant at which a majority had confirmed this leader, or nothing when this host
// doesn't lead or no majority has confirmed it. While a new record is pending, a majority of
// each of the two records is needed.
auto licenceConfirmedAt(const leadership_state &state, instant now) -> std::optional<instant>;

auto isLicensed(const leadership_state &state, instant now) -> bool;

// Extends the leader's promise to itself. Each lease that it grants depends on this promise as
// well as on those of the other members.
auto extendOwnPromise(leadership_state &state, instant now) -> void;

// Makes a leader that was unlicensed for an election timeout a follower again, so that it looks
// for another leader.
auto resignIfUnlicensed(leadership_state &state, instant now) -> void;

// Records a term seen in a message or a stored value. A candidate or leader that sees a higher term
// becomes a follower. The election of a former leader is due at once, so that it requests consent
// again in a term above the one seen.
auto observeTerm(leadership_state &state, term seen) -> void;

// The next member record that the leader should write, if any. It changes one host id at a time,
// and only after a majority has the present record.
auto proposeRecord(const leadership_state &state, const std::vector<host_status> &hosts)
        -> std::optional<member_record>;

// The first record of a new region, or one with a new generation for a region whose members have
// all restarted. Hosts and failure domains that are out of service are left out of it.
auto makeRecoveryRecord(const leadership_state &state, const std::set<std::string> &outOfService)
        -> member_record;

} // namespace parsleyloft
