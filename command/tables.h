// Tables for people of what a host reports.
#pragma once

#include "generated/configuration.pb.h"
#include "generated/dump.pb.h"

namespace parsleyloft {

auto printClasses(const wire::Configuration &present) -> void;
auto printDomains(const wire::Configuration &present) -> void;
auto printHosts(const wire::Configuration &present) -> void;

// Who leads, who owns what, and which class misses its target and why.
auto printStatus(const wire::Dump &dump) -> void;

// The part of a dump that status shows.
auto statusOf(const wire::Dump &dump) -> wire::Status;

} // namespace parsleyloft
