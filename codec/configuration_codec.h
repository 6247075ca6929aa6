// Conversions of the configuration to and from messages, and parsing of settings from JSON.
#pragma once

#include "core/configuration.h"
#include "decisions/planner.h"
#include "generated/configuration.pb.h"
#include "generated/settings.pb.h"

namespace parsleyloft {

auto toWire(const class_of_work &work) -> wire::ClassOfWork;
auto fromWire(const wire::ClassOfWork &message) -> class_of_work;

auto toWire(const configuration &value) -> wire::Configuration;
auto fromWire(const wire::Configuration &message) -> configuration;

auto servicesFromWire(const wire::Settings &settings) -> std::vector<service_info>;

// Parses settings from JSON, fills in defaults and validates them. The error's detail has one line
// for each invalid field: its path in the file, the value, and what is allowed.
auto readSettings(const std::string &text) -> result<wire::Settings>;

} // namespace parsleyloft
