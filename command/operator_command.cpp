// Subcommands for operators: class, domain, host, status and dump.
#include "command/operator_command.h"

#include "codec/json.h"
#include "command/operator_client.h"
#include "command/tables.h"
#include "generated/configuration.pb.h"
#include "generated/dump.pb.h"
#include "generated/operator.pb.h"

#include <iostream>

namespace parsleyloft {

namespace options = boost::program_options;

namespace {

struct common_options
{
    // ip:port of the entry host.
    std::string address;
    std::string action;
    std::string name;
    bool json = false;
    std::optional<std::uint64_t> revision;
};

auto addCommon(options::options_description &known, common_options &common) -> void
{
    known.add_options()("help", "show this text");
    known.add_options()("at", options::value(&common.address)->required(),
                        "ip:port of any entry host");
    known.add_options()("json", options::bool_switch(&common.json), "print JSON");
}

auto addChange(options::options_description &known, common_options &common) -> void
{
    known.add_options()("action", options::value(&common.action)->required(), "what to do");
    known.add_options()("name", options::value(&common.name)->default_value(""), "on what");
    known.add_options()("revision",
                        options::value<std::uint64_t>()->notifier(
                                [&common](std::uint64_t value) { common.revision = value; }),
                        "refuse the change when the configuration is not at this revision");
}

auto actionAndName() -> options::positional_options_description
{
    options::positional_options_description positional;
    positional.add("action", 1);
    positional.add("name", 1);
    return positional;
}

auto usageError(const std::string &text) -> exit_code
{
    std::cerr << text << "; see --help\n";
    return exit_code::Usage;
}

template<typename message>
auto fetch(const std::string &address, const std::string &target, message &body) -> result<void>
{
    http_request request;
    request.target = target;
    const auto response = callHost(address, request);
    if (!response)
        return tl::unexpected(response.error());
    return readLenientJson(response->body, body);
}

auto sendChange(const common_options &common, http_request request) -> exit_code
{
    if (common.revision)
        request.headers["If-Match"] = std::to_string(*common.revision);
    const auto response = callHost(common.address, std::move(request));
    if (!response)
        return reportError(response.error());
    wire::Configuration accepted;
    const auto read = readLenientJson(response->body, accepted);
    if (!read)
        return reportError(read.error());
    if (common.json)
        std::cout << toJson(accepted) << "\n";
    else
        std::cout << "accepted, revision " << accepted.revision() << "\n";
    return exit_code::Success;
}

auto listConfiguration(const common_options &common, void (*print)(const wire::Configuration &))
        -> exit_code
{
    wire::Configuration config;
    const auto read = fetch(common.address, "/v1/configuration", config);
    if (!read)
        return reportError(read.error());
    if (common.json)
        std::cout << toJson(config) << "\n";
    else
        print(config);
    return exit_code::Success;
}

auto changeServiceState(const common_options &common, const std::string &target) -> exit_code
{
    if (common.name.empty())
        return usageError("name is missing");
    wire::SetService message;
    message.set_id(common.name);
    message.set_out(common.action == "out");
    http_request request;
    request.method = "POST";
    request.target = target;
    request.body = toJson(message);
    return sendChange(common, std::move(request));
}

auto runServiceState(const arguments &rest, const std::string &target,
                     void (*print)(const wire::Configuration &)) -> exit_code
{
    common_options common;
    options::options_description known("options (ACTION is out, in or list)");
    addCommon(known, common);
    addChange(known, common);
    options::variables_map values;
    const auto exitCode = parseOptions(rest, known, actionAndName(), values);
    if (exitCode)
        return *exitCode;
    if (common.action == "list")
        return listConfiguration(common, print);
    if (common.action == "out" || common.action == "in")
        return changeServiceState(common, target);
    return usageError("the action must be out, in or list");
}

auto setClass(const common_options &common, const wire::ClassOfWork &work) -> exit_code
{
    if (common.name.empty() || work.service().empty() || work.max_wait_ms() == 0)
        return usageError("set needs a name, --service and --max-wait-ms");
    http_request request;
    request.method = "PUT";
    request.target = "/v1/classes/" + common.name;
    request.body = toJson(work);
    return sendChange(common, std::move(request));
}

auto removeClass(const common_options &common) -> exit_code
{
    if (common.name.empty())
        return usageError("name is missing");
    http_request request;
    request.method = "DELETE";
    request.target = "/v1/classes/" + common.name;
    return sendChange(common, std::move(request));
}

// Parses the options and fetches the host's state. Returns an exit code when either fails or only
// the help was asked for.
auto readDump(const arguments &rest, common_options &common) -> tl::expected<wire::Dump, exit_code>
{
    options::options_description known("options");
    addCommon(known, common);
    options::variables_map values;
    const auto exitCode = parseOptions(rest, known, {}, values);
    if (exitCode)
        return tl::unexpected(*exitCode);
    wire::Dump dump;
    const auto read = fetch(common.address, "/v1/dump", dump);
    if (!read)
        return tl::unexpected(reportError(read.error()));
    return dump;
}

} // namespace

auto runClass(const arguments &rest) -> exit_code
{
    common_options common;
    std::string service;
    std::uint32_t maxWaitMs = 0;
    std::uint32_t maxRefused = 0;
    bool mayRepeat = false;
    options::options_description known("options (ACTION is set, remove or list)");
    addCommon(known, common);
    addChange(known, common);
    known.add_options()("service", options::value(&service), "service that does the work");
    known.add_options()("max-wait-ms", options::value(&maxWaitMs), "longest wait of a caller");
    known.add_options()("may-repeat", options::bool_switch(&mayRepeat), "the work is idempotent");
    known.add_options()("max-refused-permille", options::value(&maxRefused),
                        "largest share of refusals, in thousandths");
    options::variables_map values;
    const auto exitCode = parseOptions(rest, known, actionAndName(), values);
    if (exitCode)
        return *exitCode;
    wire::ClassOfWork work;
    work.set_service(service);
    work.set_max_wait_ms(maxWaitMs);
    work.set_may_repeat(mayRepeat);
    work.set_max_refused_permille(maxRefused);
    if (common.action == "set")
        return setClass(common, work);
    if (common.action == "remove")
        return removeClass(common);
    if (common.action == "list")
        return listConfiguration(common, printClasses);
    return usageError("the action must be set, remove or list");
}

auto runDomain(const arguments &rest) -> exit_code
{
    return runServiceState(rest, "/v1/domains", printDomains);
}

auto runHost(const arguments &rest) -> exit_code
{
    return runServiceState(rest, "/v1/hosts", printHosts);
}

auto runStatus(const arguments &rest) -> exit_code
{
    common_options common;
    const auto dump = readDump(rest, common);
    if (!dump)
        return dump.error();
    if (common.json)
        std::cout << toJson(statusOf(*dump)) << "\n";
    else
        printStatus(*dump);
    return exit_code::Success;
}

auto runDump(const arguments &rest) -> exit_code
{
    common_options common;
    const auto dump = readDump(rest, common);
    if (!dump)
        return dump.error();
    std::cout << toJson(*dump, common.json ? json_layout::Compact : json_layout::Indented) << "\n";
    return exit_code::Success;
}

} // namespace parsleyloft
