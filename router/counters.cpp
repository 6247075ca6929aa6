// Prometheus metrics of one routing host, kept with prometheus-cpp.
#include "router/counters.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace parsleyloft {

namespace {

using prometheus::BuildCounter;

// In seconds. The users' targets lie between 0.25 and 2.
const prometheus::Histogram::BucketBoundaries latencyBuckets{0.01, 0.05, 0.1, 0.2, 0.3, 0.4,
                                                             0.6,  0.8,  1.2, 2,   5,   10};

auto counterFamily(prometheus::Registry &registry, const std::string &name, const std::string &help)
        -> prometheus::Family<prometheus::Counter> &
{
    return BuildCounter().Name(name).Help(help).Register(registry);
}

} // namespace

struct counters::internals
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &ends = counterFamily(
            registry, "parsleyloft_requests_total",
            "Requests of callers answered by this host, by route, status and reason.");
    prometheus::Family<prometheus::Histogram> &latencies =
            prometheus::BuildHistogram()
                    .Name("parsleyloft_request_seconds")
                    .Help("Time from a request's arrival to its answer, by route.")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &attempts =
            counterFamily(registry, "parsleyloft_attempts_total",
                          "Attempts at backend servers, by service and result.");
    prometheus::Family<prometheus::Counter> &refusals = counterFamily(
            registry, "parsleyloft_permit_refusals_total",
            "Permit requests refused by the queues of this host, by service and reason.");
    prometheus::Family<prometheus::Counter> &storeCalls =
            counterFamily(registry, "parsleyloft_store_calls_total",
                          "Calls on the platform's store, by call and result.");
    prometheus::Family<prometheus::Counter> &ownerChanges =
            counterFamily(registry, "parsleyloft_owner_changes_total",
                          "Key slices assigned to a new owner, by service.");
    prometheus::Family<prometheus::Counter> &orders =
            counterFamily(registry, "parsleyloft_key_orders_total",
                          "Grants and releases sent to backend servers, by kind and result.");
    prometheus::Family<prometheus::Counter> &repeats = counterFamily(
            registry, "parsleyloft_repeats_total",
            "Repeated sends requested from the shared budget, by service and result.");
    prometheus::Family<prometheus::Counter> &pipelined = counterFamily(
            registry, "parsleyloft_pipelined_requests_total",
            "Requests read behind others of their connection, by whether they ran beside them.");
    prometheus::Family<prometheus::Counter> &tokens =
            counterFamily(registry, "parsleyloft_quota_tokens_total",
                          "Tokens requested from quotas of accounts, by account and result.");
    prometheus::Family<prometheus::Counter> &hedges =
            counterFamily(registry, "parsleyloft_hedges_total",
                          "Second attempts beside a running one, by service and event.");
    prometheus::Family<prometheus::Counter> &hedgeDenials =
            counterFamily(registry, "parsleyloft_hedge_denials_total",
                          "Second attempts that were due and not made, by service and reason.");
    prometheus::Family<prometheus::Counter> &defects =
            counterFamily(registry, "parsleyloft_defective_items_total",
                          "Malformed or unknown parts of the store's items, by kind of item.");
    prometheus::Counter &closedConnections =
            counterFamily(registry, "parsleyloft_closed_connections_total",
                          "Connections of callers closed because too many were open.")
                    .Add({});
    prometheus::Gauge &leads = prometheus::BuildGauge()
                                       .Name("parsleyloft_leading")
                                       .Help("1 while this host is the leader, which assigns keys.")
                                       .Register(registry)
                                       .Add({});
    prometheus::Family<prometheus::Gauge> &viewAges =
            prometheus::BuildGauge()
                    .Name("parsleyloft_view_age_seconds")
                    .Help("Time since the host's view of a prefix of the store was last known to "
                          "be complete, by prefix.")
                    .Register(registry);
    prometheus::Gauge &storeEra =
            prometheus::BuildGauge()
                    .Name("parsleyloft_store_era")
                    .Help("How often the store has come back from an older copy, as last seen.")
                    .Register(registry)
                    .Add({});
};

auto makeCounters() -> counters
{
    return {std::make_shared<counters::internals>()};
}

auto countRequest(counters &metrics, const route_name &route, unsigned status,
                  std::string_view reason, duration took) -> void
{
    metrics.impl->ends
            .Add({{"route", route},
                  {"status", std::to_string(status)},
                  {"reason", std::string(reason)}})
            .Increment();
    metrics.impl->latencies.Add({{"route", route}}, latencyBuckets)
            .Observe(std::chrono::duration<double>(took).count());
}

auto countAttempt(counters &metrics, const service_name &service, permit_result result) -> void
{
    metrics.impl->attempts
            .Add({{"service", service}, {"result", std::string(nameIn(permitResultNames, result))}})
            .Increment();
}

auto countRefusal(counters &metrics, const service_name &service, refusal reason) -> void
{
    metrics.impl->refusals
            .Add({{"service", service}, {"reason", std::string(nameIn(refusalNames, reason))}})
            .Increment();
}

auto countStoreCall(counters &metrics, std::string_view call, bool answered) -> void
{
    metrics.impl->storeCalls
            .Add({{"call", std::string(call)}, {"result", answered ? "answered" : "failed"}})
            .Increment();
}

auto countOwnerChange(counters &metrics, const service_name &service, double slices) -> void
{
    metrics.impl->ownerChanges.Add({{"service", service}}).Increment(slices);
}

auto countKeyOrder(counters &metrics, order_kind kind, order_result result) -> void
{
    metrics.impl->orders
            .Add({{"kind", std::string(nameIn(orderKindNames, kind))},
                  {"result", std::string(nameIn(orderResultNames, result))}})
            .Increment();
}

auto countRepeat(counters &metrics, const service_name &service, bool allowed) -> void
{
    metrics.impl->repeats.Add({{"service", service}, {"result", allowed ? "allowed" : "refused"}})
            .Increment();
}

auto countPipelined(counters &metrics, bool overlaps) -> void
{
    metrics.impl->pipelined.Add({{"overlaps", overlaps ? "yes" : "no"}}).Increment();
}

auto countToken(counters &metrics, const std::string &account, std::string_view result) -> void
{
    metrics.impl->tokens.Add({{"account", account}, {"result", std::string(result)}}).Increment();
}

auto countHedgeSent(counters &metrics, const service_name &service) -> void
{
    metrics.impl->hedges.Add({{"service", service}, {"event", "sent"}}).Increment();
}

auto countHedgeEnd(counters &metrics, const service_name &service, hedge_result result) -> void
{
    metrics.impl->hedges
            .Add({{"service", service}, {"event", std::string(nameIn(hedgeResultNames, result))}})
            .Increment();
}

auto countHedgeDenial(counters &metrics, const service_name &service, hedge_denial denial) -> void
{
    metrics.impl->hedgeDenials
            .Add({{"service", service}, {"reason", std::string(nameIn(hedgeDenialNames, denial))}})
            .Increment();
}

auto countDefect(counters &metrics, store_item_kind kind) -> void
{
    metrics.impl->defects.Add({{"item", std::string(nameIn(storeItemKindNames, kind))}})
            .Increment();
}

auto countClosedConnections(counters &metrics, std::size_t count) -> void
{
    metrics.impl->closedConnections.Increment(static_cast<double>(count));
}

auto setLeading(counters &metrics, bool leading) -> void
{
    metrics.impl->leads.Set(leading ? 1 : 0);
}

auto setViewAge(counters &metrics, const std::string &prefix, duration age) -> void
{
    metrics.impl->viewAges.Add({{"prefix", prefix}})
            .Set(std::chrono::duration<double>(age).count());
}

auto setStoreEra(counters &metrics, std::uint64_t era) -> void
{
    metrics.impl->storeEra.Set(static_cast<double>(era));
}

auto renderCounters(const counters &metrics) -> std::string
{
    return prometheus::TextSerializer().Serialize(metrics.impl->registry.Collect());
}

} // namespace parsleyloft
