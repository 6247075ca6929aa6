// Counters and gauges of one process in Prometheus's text form, by prometheus-cpp.
#include "telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace parsleyloft {

namespace {

auto toSeconds(duration length) -> double
{
    return std::chrono::duration<double>(length).count();
}

const prometheus::Histogram::BucketBoundaries waitBuckets{0.001, 0.002, 0.005, 0.01, 0.019, 0.05,
                                                          0.1,   0.25,  0.5,   1,    2.5,   10};

} // namespace

struct metrics::internals
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests =
            prometheus::BuildCounter()
                    .Name("parsleyloft_requests_total")
                    .Help("Requests of callers that ended at this host, by class, outcome "
                          "and reason.")
                    .Register(registry);
    prometheus::Family<prometheus::Histogram> &waits =
            prometheus::BuildHistogram()
                    .Name("parsleyloft_request_wait_seconds")
                    .Help("Time from a request's arrival at this host to its end, by class.")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &exchanges =
            prometheus::BuildCounter()
                    .Name("parsleyloft_exchanges_total")
                    .Help("Exchanges of state that this host began, by result.")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &storeCalls =
            prometheus::BuildCounter()
                    .Name("parsleyloft_store_calls_total")
                    .Help("Calls on the platform's key-value service, by result.")
                    .Register(registry);
    prometheus::Gauge &leading = prometheus::BuildGauge()
                                         .Name("parsleyloft_leading")
                                         .Help("1 while this host leads its region.")
                                         .Register(registry)
                                         .Add({});
};

auto makeMetrics() -> metrics
{
    return {std::make_shared<metrics::internals>()};
}

auto countRequest(metrics &counters, const std::string &className, const request_outcome &ended,
                  duration wait) -> void
{
    const auto outcomeName = std::string(nameIn(outcomeNames, ended.result));
    const auto reasonName = std::string(nameIn(reasonNames, ended.cause));
    counters.impl->requests
            .Add({{"class", className}, {"outcome", outcomeName}, {"reason", reasonName}})
            .Increment();
    counters.impl->waits.Add({{"class", className}}, waitBuckets).Observe(toSeconds(wait));
}

auto countExchange(metrics &counters, bool succeeded) -> void
{
    counters.impl->exchanges.Add({{"result", succeeded ? "answered" : "failed"}}).Increment();
}

auto countStoreCall(metrics &counters, bool succeeded) -> void
{
    counters.impl->storeCalls.Add({{"result", succeeded ? "answered" : "failed"}}).Increment();
}

auto setLeading(metrics &counters, bool leading) -> void
{
    counters.impl->leading.Set(leading ? 1 : 0);
}

auto renderMetrics(const metrics &counters) -> std::string
{
    return prometheus::TextSerializer().Serialize(counters.impl->registry.Collect());
}

} // namespace parsleyloft
