// Quotas of client accounts across all hosts. The quota host of an account keeps a token bucket and
// hands out tokens; each host spends one token for each request that it sends.
//
// The load that it addresses: an account that sends several times its usual rate for some seconds,
// over all hosts, while hosts join, fail or are cut off from each other.
#pragma once

#include "core/site.h"

namespace parsleyloft {

struct quota_terms
{
    double ratePerSecond = 0;
    double burst = 0;
    // In any window, requests may exceed rate x window + burst by this share, and by the slack.
    duration window = 5s;
    double overage = 0.1;
    double slack = 20;
};

// How long after its request a token may be spent, which includes the wait for a permit. What is
// handed out just before a window and spent in it is beyond the rate. It takes up four fifths of
// the overage; the rest covers sends that start late.
auto tokenLifetime(const quota_terms &terms) -> duration;

// The state of one host at a bucket.
struct quota_member
{
    // When the host last sent a message for this account.
    instant contactAt{};
    instant probedAt{};
    // False while the host's share of the rate is withheld, because it may spend it by itself.
    bool reachable = false;
    instant withheldSince{};
    // The tokens that the host had taken elsewhere by its last message, if there was one.
    std::optional<double> takenElsewhere;
};

// The tokens of an account at its quota host.
// Invariant: reachableCount is the number of members that are reachable. The level is at most the
// burst. It is negative, down to the reserve, while tokens are handed out that the slack allows
// for.
struct quota_bucket
{
    double level = 0;
    instant updatedAt{};
    instant madeAt{};
    std::map<host_id, quota_member> members;
    std::size_t reachableCount = 0;
    instant membersCheckedAt{};
    instant probesCheckedAt{};
    // Since when requests find too few tokens although the share of an unreachable member is
    // withheld.
    std::optional<instant> shortSince;
};

// A new bucket is empty, and so is the reserve: what the quota host before it handed out is not
// known.
auto makeBucket(const quota_terms &terms, const std::map<host_id, member_host> &hosts,
                const host_id &self, instant now) -> quota_bucket;

// Adopts the list of hosts, and withholds the shares of those without a message for a second. Cheap
// when called again within 100 ms.
auto checkMembers(quota_bucket &bucket, const quota_terms &terms,
                  const std::map<host_id, member_host> &hosts, const host_id &self, instant now)
        -> void;

// Records a message of a host, with the tokens that it has taken elsewhere so far. What it took
// before its first message is not counted: the bucket was empty when it was made.
auto recordContact(quota_bucket &bucket, const quota_terms &terms, const host_id &host,
                   double takenElsewhere, instant now) -> void;

struct token_demand
{
    // Tokens for requests that wait.
    std::uint32_t needed = 0;
    // Further tokens for the demand expected soon.
    std::uint32_t expected = 0;
};

struct token_grant
{
    std::uint32_t tokens = 0;
    // When the next token is expected, if fewer were granted than needed.
    duration retryAfter = 0us;
    // True while unreachable members are being probed: there may be more tokens at once.
    bool undecided = false;
};

auto grantTokens(quota_bucket &bucket, const quota_terms &terms, const token_demand &demand,
                 instant now) -> token_grant;

// The members to send a probe to, because their shares are withheld, or soon will be, while the
// bucket runs low. Marks them as probed. Called after a grant, so that accounts without requests
// cost no probes, and cheap when called again within 100 ms.
auto membersToProbe(quota_bucket &bucket, const quota_terms &terms, instant now)
        -> std::vector<host_id>;

struct token_batch
{
    std::uint32_t count = 0;
    instant expires{};
};

// The tokens of an account at one host.
struct held_quota
{
    // In the order of expiry.
    std::vector<token_batch> batches;
    // Smoothed number of requests per second.
    double demandPerSecond = 0;
    instant demandAt{};
    // Until then the quota host has no tokens.
    instant refusedUntil{};
    // When a quota host last replied to this host.
    instant contactAt{};
    // When a call to a quota host last failed. A host without requests gets no replies either, but
    // may still reach a quota host.
    instant failedAt{};
    // The share that this host spends by itself while no quota host replies.
    double share = 0;
    instant shareAt{};
    // Tokens taken so far, in total and from each quota host.
    double takenTotal = 0;
    std::map<host_id, double> takenFrom;
};

auto recordDemand(held_quota &held, instant now) -> void;

// Takes the token that expires first, and returns when it does.
auto takeToken(held_quota &held, instant now) -> std::optional<instant>;

// Gives back a token whose request was not sent.
auto giveBackToken(held_quota &held, instant expires, instant now) -> void;

// The tokens to request for this many waiting requests.
auto tokensToRequest(const held_quota &held, std::uint32_t waiting, instant now) -> token_demand;

// The tokens taken so far that the quota host did not hand out.
auto takenElsewhere(const held_quota &held, const host_id &quotaHost) -> double;

// Adds what a quota host granted to a request sent at the given time.
auto addTokens(held_quota &held, const quota_terms &terms, const host_id &quotaHost,
               std::uint32_t tokens, instant sentAt) -> void;

// Records that a quota host is in touch with this host.
auto recordQuotaContact(held_quota &held, instant now) -> void;

// Records that a quota host did not answer, or was not in charge.
auto recordQuotaFailure(held_quota &held, instant now) -> void;

// Takes a token of this host's share of the rate, while no quota host can be reached and none has
// been in touch for 1.5 s.
auto takeShare(held_quota &held, const quota_terms &terms, std::size_t hosts, instant now) -> bool;

} // namespace parsleyloft
