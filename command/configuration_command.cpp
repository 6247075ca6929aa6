// The subcommand that checks a configuration of the platform before operators send it.
#include "command/configuration_command.h"

#include "codec/json.h"
#include "command/operator_client.h"
#include "decisions/attempt_rules.h"
#include "decisions/configuration_findings.h"
#include "generated/findings.pb.h"
#include "platform/site_decoder.h"
#include "transport/http_server.h"

#include <iostream>

namespace parsleyloft {

namespace options = boost::program_options;

namespace {

struct check_options
{
    std::string action;
    std::string path;
    // The configuration that the hosts use now, or empty.
    std::string inForcePath;
    bool json = false;
};

auto readOptions(const arguments &rest) -> tl::expected<check_options, exit_code>
{
    check_options parsed;
    options::options_description known("options (ACTION is check)");
    known.add_options()("help", "show this text");
    known.add_options()("action", options::value(&parsed.action)->required(), "what to do");
    known.add_options()("file", options::value(&parsed.path)->required(),
                        "the configuration to check, as it is written to the store");
    known.add_options()("in-force", options::value(&parsed.inForcePath),
                        "the configuration in force; also reports what differs from it");
    known.add_options()("json", options::bool_switch(&parsed.json), "print JSON");
    options::positional_options_description positional;
    positional.add("action", 1);
    positional.add("file", 1);
    options::variables_map values;
    if (const auto exitCode = parseOptions(rest, known, positional, values))
        return tl::unexpected(*exitCode);
    if (parsed.action == "check")
        return parsed;
    std::cerr << "the action must be check; see --help\n";
    return tl::unexpected(exit_code::Usage);
}

auto readConfiguration(const std::string &path, const site_configuration *inForce)
        -> result<decoded_configuration>
{
    const auto text = readFile(path);
    if (!text)
        return tl::unexpected(text.error());
    auto decoded = decodeConfiguration(*text, inForce);
    if (!decoded)
        return failure(decoded.error().code, path + ": " + decoded.error().detail);
    return decoded;
}

struct checked_configuration
{
    std::uint64_t version = 0;
    configuration_findings findings;
};

// Decodes the file as a host does that has the configuration in force.
auto checkFile(const check_options &parsed) -> result<checked_configuration>
{
    std::optional<site_configuration> inForce;
    if (!parsed.inForcePath.empty()) {
        const auto decoded = readConfiguration(parsed.inForcePath, nullptr);
        if (!decoded)
            return tl::unexpected(decoded.error());
        inForce = decoded->configuration;
    }
    const auto decoded = readConfiguration(parsed.path, inForce ? &*inForce : nullptr);
    if (!decoded)
        return tl::unexpected(decoded.error());
    const auto &configuration = decoded->configuration;
    checked_configuration checked{configuration.version, findingsOfDefects(decoded->defects)};
    const auto add = [&](const configuration_findings &found) {
        checked.findings.insert(checked.findings.end(), found.begin(), found.end());
    };
    add(findingsOfRepeatedKeys(decoded->repeatedKeys));
    add(findContradictions(configuration, {maxReadHeaderBytes, minAttemptTime}));
    if (inForce)
        add(findDifferences(*inForce, configuration));
    return checked;
}

auto printFindings(const checked_configuration &checked) -> void
{
    for (const auto &finding : checked.findings)
        std::cout << nameIn(findingKindNames, finding.kind) << " " << finding.subject << ": "
                  << finding.detail << "\n";
    std::cout << "version " << checked.version << ", findings: " << checked.findings.size() << "\n";
}

auto toMessage(const checked_configuration &checked) -> wire::ConfigurationFindings
{
    wire::ConfigurationFindings message;
    message.set_version(checked.version);
    for (const auto &finding : checked.findings) {
        auto *added = message.add_findings();
        added->set_kind(std::string(nameIn(findingKindNames, finding.kind)));
        added->set_subject(finding.subject);
        added->set_detail(finding.detail);
    }
    return message;
}

} // namespace

auto runConfiguration(const arguments &rest) -> exit_code
{
    const auto parsed = readOptions(rest);
    if (!parsed)
        return parsed.error();
    const auto checked = checkFile(*parsed);
    if (!checked) {
        reportError(checked.error());
        return exit_code::Usage;
    }
    if (parsed->json)
        std::cout << toJson(toMessage(*checked)) << "\n";
    else
        printFindings(*checked);
    return checked->findings.empty() ? exit_code::Success : exit_code::Failed;
}

} // namespace parsleyloft
