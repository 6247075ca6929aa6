// Counters and histograms of one routing host, by prometheus-cpp.
#include "router/counters.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace parsleyloft {

namespace {

using prometheus::BuildCounter;

// Seconds; the users' targets lie between 0.25 and 2.
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
            "Requests of callers that ended at this host, by route, status and reason.");
    prometheus::Family<prometheus::Histogram> &latencies =
            prometheus::BuildHistogram()
                    .Name("parsleyloft_request_seconds")
                    .Help("Time from a request's arrival to its answer, by route.")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &attempts =
            counterFamily(registry, "parsleyloft_attempts_total",
                          "Sends to backend servers, by service and how they ended.");
    prometheus::Family<prometheus::Counter> &refusals =
            counterFamily(registry, "parsleyloft_permit_refusals_total",
                          "Permits that this host's queues refused, by service and reason.");
    prometheus::Family<prometheus::Counter> &storeCalls =
            counterFamily(registry, "parsleyloft_store_calls_total",
                          "Calls on the platform's store, by call and result.");
    prometheus::Family<prometheus::Counter> &ownerChanges =
            counterFamily(registry, "parsleyloft_owner_changes_total",
                          "Slices of keys that were given to a new owner, by service.");
    prometheus::Family<prometheus::Counter> &orders =
            counterFamily(registry, "parsleyloft_key_orders_total",
                          "Grants and releases sent to backend servers, by kind and result.");
    prometheus::Family<prometheus::Counter> &repeats =
            counterFamily(registry, "parsleyloft_repeats_total",
                          "Second sends asked of the shared budget, by service and result.");
    prometheus::Gauge &leads = prometheus::BuildGauge()
                                       .Name("parsleyloft_leading")
                                       .Help("1 while this host decides who owns keys.")
                                       .Register(registry)
                                       .Add({});
};

auto makeCounters() -> counters
{
    return {std::make_shared<counters::internals>()};
}

auto countEnd(counters &counted, const route_name &route, unsigned status, std::string_view why,
              duration took) -> void
{
    counted.inside->ends
            .Add({{"route", route},
                  {"status", std::to_string(status)},
                  {"reason", std::string(why)}})
            .Increment();
    counted.inside->latencies.Add({{"route", route}}, latencyBuckets)
            .Observe(std::chrono::duration<double>(took).count());
}

auto countAttempt(counters &counted, const service_name &service, permit_result ended) -> void
{
    counted.inside->attempts
            .Add({{"service", service}, {"result", std::string(nameIn(permitResultNames, ended))}})
            .Increment();
}

auto countRefusal(counters &counted, const service_name &service, refusal why) -> void
{
    counted.inside->refusals
            .Add({{"service", service}, {"reason", std::string(nameIn(refusalNames, why))}})
            .Increment();
}

auto countStoreCall(counters &counted, std::string_view call, bool answered) -> void
{
    counted.inside->storeCalls
            .Add({{"call", std::string(call)}, {"result", answered ? "answered" : "failed"}})
            .Increment();
}

auto countOwnerChange(counters &counted, const service_name &service, double slices) -> void
{
    counted.inside->ownerChanges.Add({{"service", service}}).Increment(slices);
}

auto countOrder(counters &counted, order_kind kind, order_result ended) -> void
{
    counted.inside->orders
            .Add({{"kind", std::string(nameIn(orderKindNames, kind))},
                  {"result", std::string(nameIn(orderResultNames, ended))}})
            .Increment();
}

auto countSpentRepeat(counters &counted, const service_name &service, bool allowed) -> void
{
    counted.inside->repeats.Add({{"service", service}, {"result", allowed ? "allowed" : "refused"}})
            .Increment();
}

auto setLeads(counters &counted, bool leads) -> void
{
    counted.inside->leads.Set(leads ? 1 : 0);
}

auto renderCounters(const counters &counted) -> std::string
{
    return prometheus::TextSerializer().Serialize(counted.inside->registry.Collect());
}

} // namespace parsleyloft
