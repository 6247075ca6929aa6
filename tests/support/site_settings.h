// Settings of hosts and configurations of a site, for process tests and the soak.
#pragma once

#include "core/endpoint.h"
#include "generated/host_settings.pb.h"
#include "generated/site.pb.h"

namespace parsleyloft {

// Settings of a host that listens on four ports from the given address on: for callers, readiness,
// other hosts and metrics.
auto makeHostSettings(const std::string &id, const std::string &domain, const endpoint &first,
                      const endpoint &store) -> wire::HostSettings;

// Adds a route below the host name "shop.example".
auto addRoute(wire::SiteConfiguration &configuration, const std::string &prefix,
              const std::string &service, const std::string &kind, std::uint32_t timeoutMs = 2000)
        -> void;

} // namespace parsleyloft
