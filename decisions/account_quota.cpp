// Quotas of client accounts across all hosts.
#include "decisions/account_quota.h"

#include <algorithm>
#include <cmath>

namespace parsleyloft {

namespace {

// A member that has sent no message for this long may soon spend its share by itself.
constexpr duration contactLimit = 1s;
// A host spends its share when no quota host has been in touch for this long. It is later than the
// quota host starts to withhold the share, also when a message is on its way for half a second.
constexpr duration isolationLimit = 1500ms;
// Work that grows with the number of hosts is done no more often.
constexpr duration memberCheckInterval = 100ms;
// Unreachable members are probed before their shares are withheld.
constexpr duration probeAfter = 500ms;
constexpr duration probeInterval = 400ms;
// How long requests wait for probes to be answered.
constexpr duration probeWait = 300ms;
// A burst far above the rate would let tokens outlive the withdrawal of a host's share.
constexpr duration maxTokenLifetime = 1s;
// Requests wait while a new bucket gets its first tokens, instead of being refused as beyond the
// quota.
constexpr duration newBucketWait = 1s;
constexpr double lowPart = 0.75;
// The part of a bucket that is kept for requests that wait.
constexpr double keptPart = 0.5;
constexpr duration demandHorizon = 250ms;
constexpr double demandSmoothingSeconds = 1;
constexpr std::uint32_t maxTokensRequested = 1000;
constexpr duration maxRetryAfter = 1s;

auto secondsBetween(instant from, instant to) -> double
{
    return to > from ? std::chrono::duration<double>(to - from).count() : 0;
}

auto fromSeconds(double seconds) -> duration
{
    return duration(static_cast<std::int64_t>(seconds * 1e6));
}

// Tokens beyond the burst that the slack allows for. The rest is for the whole tokens that hosts
// save up while they are cut off from all others.
auto reserveOf(const quota_terms &terms) -> double
{
    constexpr double reservePart = 0.3;
    return std::max(1.0, terms.slack * reservePart);
}

// A bucket that is shared by many hosts can still save up one token for each of them.
auto capacityOf(const quota_terms &terms) -> double
{
    return std::max(1.0, terms.burst);
}

auto reachablePart(const quota_bucket &bucket) -> double
{
    return static_cast<double>(bucket.reachableCount) / static_cast<double>(bucket.members.size());
}

auto shareOf(const quota_bucket &bucket, const quota_terms &terms) -> double
{
    return terms.ratePerSecond / static_cast<double>(bucket.members.size());
}

auto refill(quota_bucket &bucket, const quota_terms &terms, instant now) -> void
{
    const auto gained =
            terms.ratePerSecond * reachablePart(bucket) * secondsBetween(bucket.updatedAt, now);
    bucket.level = std::min(capacityOf(terms), bucket.level + gained);
    bucket.updatedAt = std::max(bucket.updatedAt, now);
}

// The parts of the burst and of the reserve that belong to members that are not reachable are
// withheld like their rate: they are available at another quota host, if these members reach one.
auto availableTokens(const quota_bucket &bucket, const quota_terms &terms) -> double
{
    const auto reserve = reserveOf(terms) * reachablePart(bucket);
    const auto most = std::max(1.0, terms.burst * reachablePart(bucket) + reserve);
    return std::min(bucket.level + reserve, most);
}

auto toCount(double tokens) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(tokens)));
}

auto isLow(const quota_bucket &bucket, const quota_terms &terms) -> bool
{
    return bucket.shortSince
            || availableTokens(bucket, terms) < lowPart * (terms.burst + reserveOf(terms));
}

auto dropExpired(held_quota &held, instant now) -> void
{
    std::erase_if(held.batches,
                  [now](const auto &batch) { return batch.count == 0 || batch.expires <= now; });
}

auto insertBatch(held_quota &held, const token_batch &batch) -> void
{
    const auto later =
            std::find_if(held.batches.begin(), held.batches.end(),
                         [&](const auto &other) { return other.expires > batch.expires; });
    held.batches.insert(later, batch);
}

} // namespace

auto tokenLifetime(const quota_terms &terms) -> duration
{
    constexpr double lifetimePart = 0.8;
    if (terms.ratePerSecond <= 0)
        return 0us;
    const auto window = std::chrono::duration<double>(terms.window).count();
    const auto seconds = window + terms.burst / terms.ratePerSecond;
    return std::min<duration>(maxTokenLifetime,
                              fromSeconds(seconds * terms.overage * lifetimePart));
}

auto makeBucket(const quota_terms &terms, const std::map<host_id, member_host> &hosts,
                const host_id &self, instant now) -> quota_bucket
{
    quota_bucket bucket;
    bucket.level = -reserveOf(terms);
    bucket.madeAt = now;
    bucket.updatedAt = now;
    bucket.membersCheckedAt = now;
    for (const auto &[id, host] : hosts)
        bucket.members[id].withheldSince = now;
    bucket.members[self] = {now, now, true, {}, std::nullopt};
    bucket.reachableCount = 1;
    return bucket;
}

auto checkMembers(quota_bucket &bucket, const quota_terms &terms,
                  const std::map<host_id, member_host> &hosts, const host_id &self, instant now)
        -> void
{
    if (now - bucket.membersCheckedAt < memberCheckInterval)
        return;
    refill(bucket, terms, now);
    bucket.membersCheckedAt = now;
    std::erase_if(bucket.members, [&](const auto &entry) {
        return entry.first != self && !hosts.contains(entry.first);
    });
    for (const auto &[id, host] : hosts)
        bucket.members.try_emplace(id, quota_member{{}, {}, false, now, std::nullopt});
    bucket.members[self].contactAt = now;
    bucket.reachableCount = 0;
    for (auto &[id, member] : bucket.members) {
        const auto reachable =
                now - member.contactAt <= contactLimit && (member.reachable || id == self);
        if (member.reachable && !reachable)
            member.withheldSince = now;
        member.reachable = reachable;
        bucket.reachableCount += reachable ? 1 : 0;
    }
}

auto recordContact(quota_bucket &bucket, const quota_terms &terms, const host_id &host,
                   double takenElsewhere, instant now) -> void
{
    const auto known = bucket.members.find(host);
    // A host that is not listed yet. Its share is part of the others'.
    if (known == bucket.members.end())
        return;
    refill(bucket, terms, now);
    auto &member = known->second;
    if (!member.reachable) {
        const auto withheld = shareOf(bucket, terms) * secondsBetween(member.withheldSince, now);
        bucket.level = std::min(capacityOf(terms), bucket.level + withheld);
        member.reachable = true;
        ++bucket.reachableCount;
    }
    member.contactAt = now;
    // A host that was started again counts from 0.
    const auto before = member.takenElsewhere.value_or(takenElsewhere);
    const auto taken = std::max(0.0, takenElsewhere - before);
    // What another quota host handed out over a longer time is more than this bucket gained, since
    // it gains no more than the burst. Of this debt the account pays back one burst: what was
    // handed out within the last window, a burst and the rate, still counts.
    const auto least = -(capacityOf(terms) + reserveOf(terms));
    bucket.level = std::max(bucket.level - taken, std::min(bucket.level, least));
    member.takenElsewhere = takenElsewhere;
}

auto grantTokens(quota_bucket &bucket, const quota_terms &terms, const token_demand &demand,
                 instant now) -> token_grant
{
    refill(bucket, terms, now);
    const auto available = availableTokens(bucket, terms);
    token_grant granted;
    granted.tokens = std::min(demand.needed, toCount(available));
    if (granted.tokens == demand.needed) {
        const auto kept = keptPart * (terms.burst + reserveOf(terms));
        granted.tokens += std::min(demand.expected, toCount(available - granted.tokens - kept));
        bucket.shortSince.reset();
    } else if (bucket.reachableCount < bucket.members.size()) {
        if (!bucket.shortSince)
            bucket.shortSince = now;
        granted.undecided = now - *bucket.shortSince < probeWait;
    }
    if (granted.tokens < demand.needed && now - bucket.madeAt < newBucketWait)
        granted.undecided = true;
    bucket.level -= granted.tokens;
    if (granted.tokens < demand.needed && terms.ratePerSecond > 0) {
        const auto missing = 1 - (available - granted.tokens);
        granted.retryAfter = std::min<duration>(
                maxRetryAfter,
                fromSeconds(missing / (terms.ratePerSecond * reachablePart(bucket))));
    }
    return granted;
}

auto membersToProbe(quota_bucket &bucket, const quota_terms &terms, instant now)
        -> std::vector<host_id>
{
    std::vector<host_id> probed;
    if (now - bucket.probesCheckedAt < memberCheckInterval || !isLow(bucket, terms))
        return probed;
    bucket.probesCheckedAt = now;
    for (auto &[id, member] : bucket.members) {
        if (now - member.contactAt < probeAfter || now - member.probedAt < probeInterval)
            continue;
        member.probedAt = now;
        probed.push_back(id);
    }
    return probed;
}

auto recordDemand(held_quota &held, instant now) -> void
{
    const auto elapsed = secondsBetween(held.demandAt, now);
    held.demandPerSecond = held.demandPerSecond * std::exp(-elapsed / demandSmoothingSeconds)
            + 1 / demandSmoothingSeconds;
    held.demandAt = now;
}

auto takeToken(held_quota &held, instant now) -> std::optional<instant>
{
    dropExpired(held, now);
    if (held.batches.empty())
        return std::nullopt;
    --held.batches.front().count;
    return held.batches.front().expires;
}

auto giveBackToken(held_quota &held, instant expires, instant now) -> void
{
    if (expires > now)
        insertBatch(held, {1, expires});
}

auto tokensToRequest(const held_quota &held, std::uint32_t waiting, instant now) -> token_demand
{
    const auto elapsed = secondsBetween(held.demandAt, now);
    const auto rate = held.demandPerSecond * std::exp(-elapsed / demandSmoothingSeconds);
    const auto expected = std::chrono::duration<double>(demandHorizon).count() * rate;
    return {std::min(waiting, maxTokensRequested), std::min(toCount(expected), maxTokensRequested)};
}

auto takenElsewhere(const held_quota &held, const host_id &quotaHost) -> double
{
    const auto known = held.takenFrom.find(quotaHost);
    return held.takenTotal - (known == held.takenFrom.end() ? 0 : known->second);
}

auto addTokens(held_quota &held, const quota_terms &terms, const host_id &quotaHost,
               std::uint32_t tokens, instant sentAt) -> void
{
    if (tokens == 0)
        return;
    held.takenFrom[quotaHost] += tokens;
    held.takenTotal += tokens;
    insertBatch(held, {tokens, sentAt + tokenLifetime(terms)});
}

auto recordQuotaContact(held_quota &held, instant now) -> void
{
    held.contactAt = std::max(held.contactAt, now);
    held.share = 0;
}

auto recordQuotaFailure(held_quota &held, instant now) -> void
{
    held.failedAt = now;
}

auto takeShare(held_quota &held, const quota_terms &terms, std::size_t hosts, instant now) -> bool
{
    const auto from = held.contactAt + isolationLimit;
    if (now < from || held.failedAt <= held.contactAt)
        return false;
    const auto count = static_cast<double>(std::max<std::size_t>(hosts, 1));
    const auto gained =
            terms.ratePerSecond / count * secondsBetween(std::max(from, held.shareAt), now);
    held.share = std::min(std::max(1.0, terms.burst / count), held.share + gained);
    held.shareAt = now;
    if (held.share < 1)
        return false;
    held.share -= 1;
    held.takenTotal += 1;
    return true;
}

} // namespace parsleyloft
