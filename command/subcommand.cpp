// Support for programs with subcommands: lookup, option parsing and help.
#include "command/subcommand.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace parsleyloft {

namespace options = boost::program_options;

namespace {

auto printHelp(std::string_view program, const std::vector<subcommand> &subcommands) -> void
{
    std::cout << "usage: " << program << " SUBCOMMAND [options]\n\n";
    for (const auto &subcommand : subcommands)
        std::cout << "  " << subcommand.name << "\t" << subcommand.summary << "\n";
    std::cout << "\n"
              << program << " SUBCOMMAND --help shows the options.\n"
              << program << " --version shows the version.\n";
}

} // namespace

auto runSubcommand(std::string_view program, const std::vector<subcommand> &subcommands, int count,
                   const char *const *values) -> exit_code
{
    const arguments all(values + 1, values + count);
    if (all.empty() || all.front() == "--help" || all.front() == "help") {
        printHelp(program, subcommands);
        return all.empty() ? exit_code::Usage : exit_code::Success;
    }
    if (all.front() == "--version") {
        std::cout << program << " " << PARSLEYLOFT_VERSION << "\n";
        return exit_code::Success;
    }
    for (const auto &subcommand : subcommands) {
        if (subcommand.name == all.front())
            return subcommand.run(arguments(all.begin() + 1, all.end()));
    }
    std::cerr << program << ": no subcommand '" << all.front() << "'; see --help\n";
    return exit_code::Usage;
}

auto parseOptions(const arguments &rest, const options::options_description &known,
                  const options::positional_options_description &positional,
                  options::variables_map &values) -> std::optional<exit_code>
{
    // The library reports invalid options by exceptions: they become exit codes here.
    try {
        const auto parsed =
                options::command_line_parser(rest).options(known).positional(positional).run();
        options::store(parsed, values);
        if (values.count("help") > 0) {
            std::cout << known;
            return exit_code::Success;
        }
        options::notify(values);
    } catch (const options::error &invalid) {
        std::cerr << invalid.what() << "; see --help\n";
        return exit_code::Usage;
    }
    return std::nullopt;
}

auto readFile(const std::string &path) -> result<std::string>
{
    std::ifstream file(path);
    if (!file)
        return failure(error_code::NotFound, path + ": can't be opened");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace parsleyloft
