// The subcommand that runs a routing host on the platform.
#include "command/route_command.h"

#include "codec/json.h"
#include "command/operator_client.h"
#include "command/signals.h"
#include "router/serve.h"
#include "router/settings.h"
#include "telemetry/event_log.h"

#include <cstdlib>
#include <iostream>

namespace parsleyloft {

namespace options = boost::program_options;

namespace {

// Environment variable in which the platform gives the path of the settings file.
constexpr auto settingsVariable = "PARSLEYLOFT_BOOT";
// Longest time until a change of the settings file is noticed without a signal.
constexpr duration settingsPollPeriod = 1s;

auto loadSettings(const std::string &path) -> result<wire::HostSettings>
{
    const auto text = readFile(path);
    if (!text)
        return tl::unexpected(text.error());
    auto settings = readHostSettings(*text);
    if (!settings)
        return failure(error_code::InvalidInput, path + ":\n" + settings.error().detail);
    return settings;
}

struct route_options
{
    std::string settingsPath;
    // Only validate the settings and print them with their defaults.
    bool checkOnly = false;
};

auto readOptions(const arguments &rest) -> tl::expected<route_options, exit_code>
{
    route_options parsed;
    auto &path = parsed.settingsPath;
    if (const auto *named = std::getenv(settingsVariable))
        path = named;
    options::options_description known("options");
    known.add_options()("help", "show this text")(
            "settings", options::value(&path),
            "settings file in JSON; by default the one that PARSLEYLOFT_BOOT names")(
            "check", options::bool_switch(&parsed.checkOnly),
            "check the settings, print what is in force, and end");
    options::variables_map values;
    const auto exitCode = parseOptions(rest, known, {}, values);
    if (exitCode)
        return tl::unexpected(*exitCode);
    return parsed;
}

auto reloadIfChanged(router_process &router, const std::string &path, std::string &lastRead) -> void
{
    const auto text = readFile(path);
    if (!text) {
        logEvent(log_level::Warn, "settings_unreadable", {{"detail", text.error().detail}});
        return;
    }
    if (*text == lastRead)
        return;
    lastRead = *text;
    const auto settings = readHostSettings(*text);
    if (settings)
        reloadRouter(router, *settings);
    else
        logEvent(log_level::Error, "settings_refused", {{"detail", settings.error().detail}});
}

// Serves until a stop signal arrives. Checks the settings file for changes on each reload signal
// and periodically.
auto serveUntilStopped(router_process &router, const std::string &path, signal_watch &signals)
        -> void
{
    auto lastRead = readFile(path).value_or(std::string());
    while (waitForSignal(signals, settingsPollPeriod) != received_signal::Stop)
        reloadIfChanged(router, path, lastRead);
}

} // namespace

auto runRoute(const arguments &rest) -> exit_code
{
    const auto parsed = readOptions(rest);
    if (!parsed)
        return parsed.error();
    const auto &path = parsed->settingsPath;
    const auto settings = loadSettings(path);
    if (!settings) {
        reportError(settings.error());
        return exit_code::Usage;
    }
    if (parsed->checkOnly) {
        std::cout << toJson(*settings, json_layout::Indented);
        return exit_code::Success;
    }
    auto signals = watchSignals();
    startLog(*valueIn(logLevelNames, settings->log_level()), settings->host_id(),
             log_target::StandardOutput);
    const auto router = startRouter(*settings);
    if (!router) {
        stopLog();
        return reportError(router.error());
    }
    serveUntilStopped(**router, path, signals);
    const auto drained = stopRouter(**router);
    stopLog();
    return drained ? exit_code::Success : exit_code::Failed;
}

} // namespace parsleyloft
