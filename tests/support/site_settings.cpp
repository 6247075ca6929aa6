// Settings of hosts and configurations of a site.
#include "support/site_settings.h"

namespace parsleyloft {

auto makeHostSettings(const std::string &id, const std::string &domain, const endpoint &first,
                      const endpoint &store) -> wire::HostSettings
{
    const auto portText = [&](int index) {
        return formatEndpoint({first.address, static_cast<std::uint16_t>(first.port + index)});
    };
    wire::HostSettings settings;
    settings.set_host_id(id);
    settings.set_failure_domain(domain);
    settings.set_caller_address(portText(0));
    settings.set_ready_address(portText(1));
    settings.set_peer_address(portText(2));
    settings.set_metrics_address(portText(3));
    settings.set_store_address(formatEndpoint(store));
    settings.set_log_level("debug");
    auto *bounds = settings.mutable_bounds();
    bounds->set_drain_ms(2000);
    bounds->set_grace_s(6);
    bounds->set_hold_max_ms(10000);
    bounds->set_repeat_ratio(0.2);
    bounds->set_repeat_slack(60);
    bounds->set_repeat_window_s(10);
    return settings;
}

auto addRoute(wire::SiteConfiguration &configuration, const std::string &prefix,
              const std::string &service, const std::string &kind, std::uint32_t timeoutMs) -> void
{
    auto *added = configuration.add_routes();
    added->set_name("r" + std::to_string(configuration.routes_size()));
    added->set_host("shop.example");
    added->set_prefix(prefix);
    added->set_kind(kind);
    added->set_timeout_ms(timeoutMs);
    added->set_target_ms(500);
    added->set_priority(1);
    added->set_service(service);
    added->set_max_attempts(3);
}

} // namespace parsleyloft
