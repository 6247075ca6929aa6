// Leadership of a region by promises of the member hosts.
//
// A host leads in a term once a majority of the members consented to it, and acts only
// while it is licensed: a majority promised, at its asking within the last licence
// length, to support no other leader for one licence length. Nothing of this is stored
// by the hosts. The member record lives in the platform's key-value service; a restarted
// host has forgotten its promises and counts again only under its new start number.
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
    // Leader only: the next record while its write is not confirmed.
    std::optional<member_record> pendingRecord;
    // Invariant: never falls. Lower terms are refused.
    term highest;
    // Invariant: never falls, and at most one host got consent in it.
    term consented;
    // The host that this one supports.
    host_id supported;
    // Invariant: before this instant no host but the supported one gets a promise.
    instant promisedUntil{};
    // True while the promise is to this host itself and it has not led under it. Nothing
    // rests on such a promise, so it may be broken.
    bool onlyCandidate = false;
    instant lastWord{};
    leadership_role role = leadership_role::Follower;
    // Candidate and leader: when consent was asked, and who gave it under which start.
    instant asked{};
    std::map<host_id, start_number> consents;
    // Leader: the newest stamp that each member returned in this term.
    std::map<host_id, instant> confirmations;
    std::map<host_id, std::uint64_t> knownVersions;
    // Leader: no change of owners before this instant, while older leases may run.
    instant quietUntil{};
};

struct consent_request
{
    host_id candidate;
    term asked;
    member_record record;
};

struct consent_reply
{
    host_id from;
    start_number start = 0;
    bool granted = false;
    term highest;
    member_record record;
};

// A host that takes part, as the leader sees it.
struct live_host
{
    member identity;
    bool alive = false;
    bool leaving = false;
};

auto newLeadership(const lease_limits &limits, const member &self, instant now) -> leadership_state;

auto isMember(const member_record &record, const host_id &host, start_number start) -> bool;

// Takes in a record seen at a peer or in the key-value service, when it is newer.
auto learnRecord(leadership_state &state, const member_record &record) -> void;

// True when the leader was silent for this host's election timeout.
auto electionDue(const leadership_state &state, instant now) -> bool;

// Stands as candidate. With a generation from the key-value service the term starts it;
// otherwise the ballot rises. Returns nothing while an own promise to another host holds.
auto standAsCandidate(leadership_state &state, instant now, std::optional<std::uint32_t> generation)
        -> std::optional<consent_request>;

auto answerConsent(leadership_state &state, const consent_request &request, instant now)
        -> consent_reply;

// Counts a consent. Returns true when this one made the candidate leader.
auto countConsent(leadership_state &state, const consent_reply &reply, instant now) -> bool;

// A follower's answer to a licensed leader's word: true when it now promises support.
auto promiseSupport(leadership_state &state, const host_id &leader, term ledIn, instant now)
        -> bool;

// Counts the return of one of this leader's stamps by a member.
auto countConfirmation(leadership_state &state, const host_id &host, start_number start,
                       instant stamp, std::uint64_t knownVersion) -> void;

// The latest instant at which a majority had confirmed this leader, if it leads.
auto licenceConfirmedAt(const leadership_state &state, instant now) -> std::optional<instant>;

auto isLicensed(const leadership_state &state, instant now) -> bool;

// The leader's own promise, on which each lease that it gives rests beside the members'.
auto promiseOneself(leadership_state &state, instant now) -> void;

// A leader without a licence for long gives up, so that it looks for another.
auto resignIfStale(leadership_state &state, instant now) -> void;

// A leader that meets a higher term asks for consent again, above it; others only note it.
auto meetTerm(leadership_state &state, term seen) -> void;

// The next member record a leader wants, if any: one change of host ids at a time, and
// none before a majority knows the present record.
auto proposeRecord(const leadership_state &state, const std::vector<live_host> &hosts)
        -> std::optional<member_record>;

// The first record of a new region, or one with a new generation for a region whose
// members all restarted. Hosts that operators took out are left behind.
auto recoveryRecord(const leadership_state &state, const std::set<std::string> &out)
        -> member_record;

} // namespace parsleyloft
