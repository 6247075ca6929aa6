// Subcommands that read a settings file: serve and check.
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

// The settings from the file that the command line names, or an exit code when the options or the
// settings are invalid or only the help was asked for.
auto settingsFrom(const arguments &rest) -> tl::expected<wire::Settings, exit_code>
{
    std::string path;
    options::options_description known("options");
    known.add_options()("help", "show this text")("settings", options::value(&path)->required(),
                                                  "settings file in JSON");
    options::variables_map values;
    const auto exitCode = parseOptions(rest, known, {}, values);
    if (exitCode)
        return tl::unexpected(*exitCode);
    auto settings = loadSettings(path);
    if (settings)
        return std::move(*settings);
    reportError(settings.error());
    return tl::unexpected(exit_code::Usage);
}

} // namespace

auto runServe(const arguments &rest) -> exit_code
{
    const auto settings = settingsFrom(rest);
    if (!settings)
        return settings.error();
    const auto signals = blockStopSignals();
    startLog(*valueIn(logLevelNames, settings->log_level()), settings->host_id());
    const auto daemon = startDaemon(*settings);
    if (!daemon)
        return reportError(daemon.error());
    waitForStopSignal(signals);
    const auto drained = stopDaemon(**daemon);
    stopLog();
    return drained ? exit_code::Success : exit_code::Failed;
}

auto runCheck(const arguments &rest) -> exit_code
{
    const auto settings = settingsFrom(rest);
    if (!settings)
        return settings.error();
    std::cout << toJson(*settings, json_layout::Indented);
    return exit_code::Success;
}

} // namespace parsleyloft
