// Human-readable tables of the state that a host reports.
#pragma once

#include "generated/configuration.pb.h"
#include "generated/dump.pb.h"

namespace parsleyloft {

auto printClasses(const wire::Configuration &config) -> void;
auto printDomains(const wire::Configuration &config) -> void;
auto printHosts(const wire::Configuration &config) -> void;

// Prints the leader, the owners of shards, and each class with the reason if it misses its target.
auto printStatus(const wire::Dump &dump) -> void;

// The part of a dump that the status command shows.
auto statusOf(const wire::Dump &dump) -> wire::Status;

} // namespace parsleyloft
