// Prometheus metrics of one routing host.
#pragma once

#include "core/time.h"
#include "decisions/hedging.h"
#include "decisions/key_ownership.h"
#include "decisions/permit_queue.h"

#include <memory>
#include <string>

namespace parsleyloft {

// The items of the platform's store that other systems write.
enum class store_item_kind : std::uint8_t { Configuration, Server };

inline constexpr name_table<store_item_kind, 2> storeItemKindNames{{
        {store_item_kind::Configuration, "configuration"},
        {store_item_kind::Server, "server"},
}};

struct counters
{
    struct internals;
    std::shared_ptr<internals> impl;
};

auto makeCounters() -> counters;

// A finished request of a caller. The set of label values is bounded: routes come from the
// configuration.
auto countRequest(counters &metrics, const route_name &route, unsigned status,
                  std::string_view reason, duration took) -> void;
auto countAttempt(counters &metrics, const service_name &service, permit_result result) -> void;
auto countRefusal(counters &metrics, const service_name &service, refusal reason) -> void;
auto countStoreCall(counters &metrics, std::string_view call, bool answered) -> void;
auto countOwnerChange(counters &metrics, const service_name &service, double slices) -> void;
auto countKeyOrder(counters &metrics, order_kind kind, order_result result) -> void;
auto countRepeat(counters &metrics, const service_name &service, bool allowed) -> void;
// A request that was read while earlier ones of its connection were not answered.
auto countPipelined(counters &metrics, bool overlaps) -> void;
// A request of an account with a quota. The set of accounts is bounded by the configuration.
auto countToken(counters &metrics, const std::string &account, std::string_view result) -> void;
auto countHedgeSent(counters &metrics, const service_name &service) -> void;
auto countHedgeEnd(counters &metrics, const service_name &service, hedge_result result) -> void;
auto countHedgeDenial(counters &metrics, const service_name &service, hedge_denial denial) -> void;
// A malformed or unknown part of an item.
auto countDefect(counters &metrics, store_item_kind kind) -> void;
// Connections of callers that were closed because too many were open.
auto countClosedConnections(counters &metrics, std::size_t count) -> void;
auto setLeading(counters &metrics, bool leading) -> void;
// How long ago the host's view of a prefix of the store was known to be complete.
auto setViewAge(counters &metrics, const std::string &prefix, duration age) -> void;
auto setStoreEra(counters &metrics, std::uint64_t era) -> void;

// All metrics in the text format of Prometheus.
auto renderCounters(const counters &metrics) -> std::string;

} // namespace parsleyloft
