// Subcommands that work on a settings file: serve and check.
#include "command/serve_command.h"

#include "codec/configuration_codec.h"
#include "codec/json.h"
#include "command/operator_client.h"
#include "command/stop_signal.h"
#include "daemon/serve.h"
#include "telemetry/event_log.h"

#include <iostream>

namespace parsleyloft {

namespace options = boost::program_options;

namespace {

auto loadSettings(const std::string &path) -> result<wire::Settings>
{
    const auto text = readFile(path);
    if (!text)
        return tl::unexpected(text.error());
    auto settings = readSettings(*text);
    if (!settings)
        return failure(error_code::InvalidInput, path + ":\n" + settings.error().detail);
    return settings;
}

auto settingsOption(const arguments &rest, std::string &path) -> std::optional<exit_code>
{
    options::options_description known("options");
    known.add_options()("help", "show this text")("settings", options::value(&path)->required(),
                                                  "settings file in JSON");
    options::variables_map values;
    return parseOptions(rest, known, {}, values);
}

} // namespace

auto runServe(const arguments &rest) -> exit_code
{
    std::string path;
    const auto ended = settingsOption(rest, path);
    if (ended)
        return *ended;
    const auto settings = loadSettings(path);
    if (!settings) {
        report(settings.error());
        return exit_code::Usage;
    }
    const auto signals = blockStopSignals();
    startLog(*valueIn(logLevelNames, settings->log_level()), settings->host_id());
    const auto daemon = startDaemon(*settings);
    if (!daemon)
        return report(daemon.error());
    waitForStopSignal(signals);
    return stopDaemon(**daemon) ? exit_code::Success : exit_code::Failed;
}

auto runCheck(const arguments &rest) -> exit_code
{
    std::string path;
    const auto ended = settingsOption(rest, path);
    if (ended)
        return *ended;
    const auto settings = loadSettings(path);
    if (!settings) {
        report(settings.error());
        return exit_code::Usage;
    }
    std::cout << toJson(*settings, json_layout::Indented);
    return exit_code::Success;
}

} // namespace parsleyloft
