// The account of a request while this host serves it.
#include "router/flow_account.h"

#include "router/accounts.h"

namespace parsleyloft {

namespace {

auto hasQuota(const request_flow &flow) -> bool
{
    return flow.account != nullptr && flow.account->ratePerSecond > 0;
}

} // namespace

auto priorityOf(const request_flow &flow) -> std::uint32_t
{
    const auto routePriority = flow.matchedRoute->priority;
    return flow.account == nullptr ? routePriority : flow.account->priority.value_or(routePriority);
}

auto accountOf(const request_flow &flow) -> account_name
{
    return flow.account == nullptr ? account_name() : flow.account->name;
}

auto forwardedAccount(const request_flow &flow) -> forwarded_account
{
    if (flow.routes->configuration.accountMode == account_mode::Absent)
        return {};
    return {true, flow.account == nullptr ? account_name() : flow.account->name,
            flow.callerRequest.accountKey};
}

auto acquireToken(const shared_flow &flow, instant until, token_callback done) -> void
{
    if (!hasQuota(*flow) || flow->tokenSpent) {
        done({token_result::Granted, instant::max(), 0us});
        return;
    }
    requestToken(flow->router, *flow->account, until,
                 [flow, done = std::move(done)](const token_outcome &outcome) {
                     countToken(flow->router.metrics, flow->account->name,
                                nameIn(tokenResultNames, outcome.result));
                     if (outcome.result == token_result::Granted)
                         flow->tokenExpires = outcome.expires;
                     done(outcome);
                 });
}

auto spendToken(request_flow &flow) -> bool
{
    if (!hasQuota(flow) || flow.tokenSpent)
        return true;
    if (!flow.tokenExpires || *flow.tokenExpires <= monotonicNow())
        flow.tokenExpires = takeHeldToken(flow.router, flow.account->name);
    flow.tokenSpent = flow.tokenExpires.has_value();
    return flow.tokenSpent;
}

auto releaseToken(request_flow &flow) -> void
{
    if (flow.tokenExpires && !flow.tokenSpent)
        returnToken(flow.router, flow.account->name, *flow.tokenExpires);
    flow.tokenExpires.reset();
}

} // namespace parsleyloft
