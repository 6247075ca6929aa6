// Requests tokens from the quota hosts of accounts, and keeps the buckets of this host.
#include "router/accounts.h"

#include "platform/site_decoder.h"
#include "router/store_follower.h"
#include "telemetry/event_log.h"

#include <algorithm>

namespace parsleyloft {

namespace {

// A reply that takes longer counts as none, as for permits.
constexpr duration quotaCallLimit = 270ms;
// Suspicions are short: while the first quota host only seems lost, the next one does not serve.
constexpr duration minSuspicion = 300ms;
constexpr duration maxSuspicion = 2s;
// After a reply that leaves open whether there are tokens.
constexpr duration undecidedRetry = 30ms;
// For this long requests are refused without a call after the quota host had no token. It bounds
// the calls of an account beyond its quota.
constexpr duration minRefusal = 20ms;
constexpr duration maxRefusal = 100ms;
// What requests wait for a quota host, which covers one that fails and the next that finds out.
constexpr duration maxTokenWait = 700ms;

// The candidates for the quota host of an account, in order of preference. Called with the members'
// lock held.
auto quotaHostsFor(members_table &members, const account_name &account)
        -> const std::vector<host_id> &
{
    return queueHostsFor(members, {"account/" + account, {}});
}

// Called with the locks of members and accounts held.
auto firstQuotaHost(router_process &router, const account_name &account, instant now) -> host_id
{
    for (const auto &host : quotaHostsFor(router.members, account)) {
        if (host == router.self.id || !isSuspected(router.accounts.suspicions, host, now))
            return host;
    }
    return router.self.id;
}

auto chooseQuotaHost(router_process &router, const account_name &account) -> member_host
{
    const std::scoped_lock guard(router.members.lock, router.accounts.lock);
    return router.members.hosts.at(firstQuotaHost(router, account, monotonicNow()));
}

auto countHosts(router_process &router) -> std::size_t
{
    const std::lock_guard guard(router.members.lock);
    return router.members.hosts.size();
}

auto termsOf(const client_account &account, const quota_terms &bounds) -> quota_terms
{
    auto terms = bounds;
    terms.ratePerSecond = account.ratePerSecond;
    terms.burst = account.burst;
    return terms;
}

// The quota of an account in the configuration in force, if it has one.
auto findTerms(router_process &router, const account_name &name) -> std::optional<quota_terms>
{
    const auto routes = currentRoutes(router);
    if (!routes)
        return std::nullopt;
    const auto &accounts = routes->configuration.accounts;
    const auto found = std::find_if(accounts.begin(), accounts.end(),
                                    [&](const auto &known) { return known.name == name; });
    if (found == accounts.end() || found->ratePerSecond <= 0)
        return std::nullopt;
    const std::lock_guard guard(router.accounts.lock);
    return termsOf(*found, router.accounts.bounds);
}

auto markSuspected(router_process &router, const host_id &host, const error &cause) -> void
{
    const auto now = monotonicNow();
    {
        const std::lock_guard guard(router.accounts.lock);
        auto &suspicion = router.accounts.suspicions[host];
        // Concurrent calls that fail together count as one failure.
        if (now < suspicion.until)
            return;
        extendSuspicion(suspicion, minSuspicion, maxSuspicion, now);
    }
    logEvent(log_level::Warn, "quota_host_unresponsive",
             {{"peer", host},
              {"code", std::string(nameIn(errorCodeNames, cause.code))},
              {"detail", cause.detail}});
}

auto clearSuspicion(router_process &router, const host_id &host) -> void
{
    const std::lock_guard guard(router.accounts.lock);
    router.accounts.suspicions.erase(host);
}

// Calls a host that precedes this one as quota host, unless a call is under way, to learn whether
// it answers.
auto checkQuotaHost(router_process &router, const member_host &host) -> void
{
    {
        const std::lock_guard guard(router.accounts.lock);
        if (!router.accounts.checked.insert(host.id).second)
            return;
    }
    wire::QuotaRequest request;
    request.set_host_id(router.self.id);
    request.set_probe(true);
    callQuota(router.peers, host.peerAddress, request, quotaCallLimit,
              [&router, id = host.id](const result<wire::QuotaReply> &reply) {
                  {
                      const std::lock_guard guard(router.accounts.lock);
                      router.accounts.checked.erase(id);
                  }
                  if (!reply)
                      markSuspected(router, id, reply.error());
                  else
                      clearSuspicion(router, id);
              });
}

auto probeMember(router_process &router, const account_name &account, const member_host &member)
        -> void
{
    wire::QuotaRequest request;
    request.set_host_id(router.self.id);
    request.set_probe(true);
    request.add_accounts()->set_account(account);
    callQuota(router.peers, member.peerAddress, request, quotaCallLimit,
              [&router, id = member.id](const result<wire::QuotaReply> &reply) {
                  if (!reply)
                      return;
                  for (const auto &answer : reply->accounts()) {
                      const auto terms = findTerms(router, answer.account());
                      const std::lock_guard guard(router.accounts.lock);
                      const auto bucket = router.accounts.buckets.find(answer.account());
                      if (terms && bucket != router.accounts.buckets.end())
                          recordContact(bucket->second, *terms, id, answer.taken_elsewhere(),
                                        monotonicNow());
                  }
              });
}

// A request for tokens of one account, as its quota host receives it.
struct quota_call
{
    account_name account;
    host_id from;
    token_demand demand;
    double takenElsewhere = 0;
};

// Grants from the bucket of this host. Returns nothing when it is not the account's quota host, or
// does not know the quota.
auto grantFromOwnBucket(router_process &router, const quota_call &call)
        -> std::optional<token_grant>
{
    const auto terms = findTerms(router, call.account);
    if (!terms)
        return std::nullopt;
    token_grant granted;
    std::vector<member_host> probed;
    std::optional<member_host> preceding;
    {
        const std::scoped_lock guard(router.members.lock, router.accounts.lock);
        const auto now = monotonicNow();
        const auto &hosts = router.members.hosts;
        const auto first = firstQuotaHost(router, call.account, now);
        if (first != router.self.id) {
            preceding = hosts.at(first);
        } else {
            auto &buckets = router.accounts.buckets;
            auto found = buckets.find(call.account);
            if (found == buckets.end())
                found = buckets.emplace(call.account, makeBucket(*terms, hosts, first, now)).first;
            auto &bucket = found->second;
            checkMembers(bucket, *terms, hosts, first, now);
            recordContact(bucket, *terms, call.from, call.takenElsewhere, now);
            granted = grantTokens(bucket, *terms, call.demand, now);
            for (const auto &member : membersToProbe(bucket, *terms, now)) {
                if (const auto host = hosts.find(member); host != hosts.end())
                    probed.push_back(host->second);
            }
        }
    }
    if (preceding) {
        checkQuotaHost(router, *preceding);
        return std::nullopt;
    }
    for (const auto &member : probed)
        probeMember(router, call.account, member);
    return granted;
}

// Callbacks that are run once the accounts' lock is released.
using token_answers = std::vector<std::pair<token_callback, token_outcome>>;

auto runAnswers(const token_answers &answers) -> void
{
    for (const auto &[done, outcome] : answers)
        done(outcome);
}

// Takes a token of this host, or of its share while no quota host is in touch. Called with the
// accounts' lock held.
auto takeAnyToken(account_state &state, std::size_t hosts, instant now) -> std::optional<instant>
{
    if (const auto expires = takeToken(state.held, now))
        return expires;
    if (takeShare(state.held, state.terms, hosts, now))
        return now + tokenLifetime(state.terms);
    return std::nullopt;
}

// Answers the waiting requests that have a token now, and those that have waited for too long.
// Called with the accounts' lock held.
auto collectAnswers(account_state &state, std::size_t hosts, instant now) -> token_answers
{
    token_answers answers;
    std::erase_if(state.waiting, [&](auto &request) {
        token_outcome outcome;
        if (const auto expires = takeAnyToken(state, hosts, now))
            outcome = {token_result::Granted, *expires, 0us};
        else if (now < request.until)
            return false;
        else
            outcome.retryAfter = maxSuspicion;
        answers.emplace_back(std::move(request.done), outcome);
        return true;
    });
    return answers;
}

auto askForTokens(router_process &router, const account_name &account) -> void;

// Ends a call and answers the requests that it decides. Asks again if others wait.
auto finishCall(router_process &router, const account_name &account,
                const std::optional<token_grant> &granted, const host_id &quotaHost,
                const token_demand &demand, instant sentAt) -> void
{
    const auto hosts = countHosts(router);
    auto again = false;
    token_answers answers;
    {
        const std::lock_guard guard(router.accounts.lock);
        const auto now = monotonicNow();
        auto &state = router.accounts.byName[account];
        if (granted) {
            recordQuotaContact(state.held, now);
            addTokens(state.held, state.terms, quotaHost, granted->tokens, sentAt);
        } else {
            recordQuotaFailure(state.held, now);
        }
        answers = collectAnswers(state, hosts, now);
        const auto refused = granted && granted->tokens < demand.needed && !granted->undecided;
        if (refused) {
            const auto pause = std::clamp(granted->retryAfter, minRefusal, maxRefusal);
            state.held.refusedUntil = now + pause;
            for (auto &request : state.waiting)
                answers.emplace_back(
                        std::move(request.done),
                        token_outcome{token_result::BeyondQuota, {}, granted->retryAfter});
            state.waiting.clear();
        }
        again = !state.waiting.empty();
        state.callInFlight = again;
    }
    runAnswers(answers);
    if (!again)
        return;
    // callInFlight is still set, so that only this call follows.
    postAfter(*router.workers, undecidedRetry, [&router, account] {
        {
            const std::lock_guard guard(router.accounts.lock);
            router.accounts.byName[account].callInFlight = false;
        }
        if (!router.stopping)
            askForTokens(router, account);
    });
}

// A reply without the account comes from a host that reaches one before it. That one is asked
// again.
auto handleReply(router_process &router, const account_name &account, const host_id &quotaHost,
                 const wire::QuotaReply &reply) -> std::optional<token_grant>
{
    if (reply.accounts_size() == 0) {
        const std::scoped_lock guard(router.members.lock, router.accounts.lock);
        for (const auto &host : quotaHostsFor(router.members, account)) {
            if (host == quotaHost)
                break;
            router.accounts.suspicions.erase(host);
        }
        return std::nullopt;
    }
    clearSuspicion(router, quotaHost);
    const auto &answer = reply.accounts(0);
    return token_grant{answer.tokens(), duration(answer.retry_after_us()), answer.undecided()};
}

auto askForTokens(router_process &router, const account_name &account) -> void
{
    const auto quotaHost = chooseQuotaHost(router, account);
    quota_call call{account, router.self.id, {}, 0};
    const auto sentAt = monotonicNow();
    {
        const std::lock_guard guard(router.accounts.lock);
        auto &state = router.accounts.byName[account];
        if (state.callInFlight || state.waiting.empty())
            return;
        state.callInFlight = true;
        call.demand = tokensToRequest(state.held, static_cast<std::uint32_t>(state.waiting.size()),
                                      sentAt);
        call.takenElsewhere = takenElsewhere(state.held, quotaHost.id);
    }
    if (quotaHost.id == router.self.id) {
        finishCall(router, account, grantFromOwnBucket(router, call), quotaHost.id, call.demand,
                   sentAt);
        return;
    }
    wire::QuotaRequest request;
    request.set_host_id(router.self.id);
    auto *demand = request.add_accounts();
    demand->set_account(account);
    demand->set_needed(call.demand.needed);
    demand->set_expected(call.demand.expected);
    demand->set_taken_elsewhere(call.takenElsewhere);
    callQuota(router.peers, quotaHost.peerAddress, request, quotaCallLimit,
              [&router, call, id = quotaHost.id, sentAt](const result<wire::QuotaReply> &reply) {
                  std::optional<token_grant> granted;
                  if (reply)
                      granted = handleReply(router, call.account, id, *reply);
                  else
                      markSuspected(router, id, reply.error());
                  finishCall(router, call.account, granted, id, call.demand, sentAt);
              });
}

// Replies to a probe with the accounts whose quota host the probing host is.
auto answerProbe(router_process &router, const wire::QuotaRequest &request) -> wire::QuotaReply
{
    wire::QuotaReply reply;
    const std::scoped_lock guard(router.members.lock, router.accounts.lock);
    const auto now = monotonicNow();
    for (const auto &probed : request.accounts()) {
        const auto &account = probed.account();
        if (firstQuotaHost(router, account, now) != request.host_id())
            continue;
        auto &held = router.accounts.byName[account].held;
        recordQuotaContact(held, now);
        auto *answer = reply.add_accounts();
        answer->set_account(account);
        answer->set_taken_elsewhere(takenElsewhere(held, request.host_id()));
    }
    return reply;
}

} // namespace

auto requestToken(router_process &router, const client_account &account, instant until,
                  const token_callback &done) -> void
{
    const auto now = monotonicNow();
    std::optional<token_outcome> outcome;
    {
        const std::lock_guard guard(router.accounts.lock);
        auto &state = router.accounts.byName[account.name];
        // A quota host withholds the share of a new host, which starts to spend it from now on.
        if (state.held.contactAt == instant{})
            state.held.contactAt = now;
        state.terms = termsOf(account, router.accounts.bounds);
        recordDemand(state.held, now);
        if (const auto expires = takeToken(state.held, now))
            outcome = {token_result::Granted, *expires, 0us};
        else if (now < state.held.refusedUntil)
            outcome = {token_result::BeyondQuota, {}, state.held.refusedUntil - now};
        else
            state.waiting.push_back({std::min(until, now + maxTokenWait), done});
    }
    if (outcome)
        done(*outcome);
    else
        askForTokens(router, account.name);
}

auto takeHeldToken(router_process &router, const account_name &account) -> std::optional<instant>
{
    const std::lock_guard guard(router.accounts.lock);
    return takeToken(router.accounts.byName[account].held, monotonicNow());
}

auto returnToken(router_process &router, const account_name &account, instant expires) -> void
{
    const std::lock_guard guard(router.accounts.lock);
    giveBackToken(router.accounts.byName[account].held, expires, monotonicNow());
}

auto mayAcceptKeys(router_process &router) -> bool
{
    const duration limit = router.keyAcceptance;
    if (limit == duration::max())
        return true;
    // Keys are part of the configuration.
    const auto configuration = findFollower(router, operatorPrefix);
    return !configuration || viewAge(*configuration) <= limit;
}

auto setAccountBounds(router_process &router, const wire::HostBounds &bounds) -> void
{
    router.keyAcceptance = bounds.strict_revoke()
            ? duration(static_cast<std::int64_t>(bounds.revoke_ms() * 1e3))
            : duration::max();
    const std::lock_guard guard(router.accounts.lock);
    auto &terms = router.accounts.bounds;
    if (bounds.has_quota_window_s())
        terms.window = duration(static_cast<std::int64_t>(bounds.quota_window_s() * 1e6));
    if (bounds.has_quota_overage())
        terms.overage = bounds.quota_overage();
    if (bounds.has_quota_slack())
        terms.slack = bounds.quota_slack();
}

auto answerQuota(router_process &router, const wire::QuotaRequest &request,
                 const peer_responder<wire::QuotaReply> &respond) -> void
{
    if (request.probe()) {
        respond(answerProbe(router, request));
        return;
    }
    wire::QuotaReply reply;
    for (const auto &demand : request.accounts()) {
        const auto granted = grantFromOwnBucket(router,
                                                {demand.account(),
                                                 request.host_id(),
                                                 {demand.needed(), demand.expected()},
                                                 demand.taken_elsewhere()});
        if (!granted)
            continue;
        auto *answer = reply.add_accounts();
        answer->set_account(demand.account());
        answer->set_tokens(granted->tokens);
        answer->set_retry_after_us(granted->retryAfter.count());
        answer->set_undecided(granted->undecided);
    }
    respond(std::move(reply));
}

} // namespace parsleyloft
