// Support for programs with subcommands: lookup, option parsing and help.
#pragma once

#include "command/exit_code.h"

#include <boost/program_options.hpp>
#include <string>
#include <vector>

namespace parsleyloft {

using arguments = std::vector<std::string>;

struct subcommand
{
    std::string_view name;
    std::string_view summary;
    auto(*run)(const arguments &rest) -> exit_code;
};

// Runs the subcommand that the first argument names. Prints the help for "--help" or when there
// are no arguments.
auto runSubcommand(std::string_view program, const std::vector<subcommand> &subcommands, int count,
                   const char *const *values) -> exit_code;

// Parses options. When the help was asked for or the options are invalid, prints the help or the
// error and returns the exit code.
auto parseOptions(const arguments &rest, const boost::program_options::options_description &options,
                  const boost::program_options::positional_options_description &positional,
                  boost::program_options::variables_map &values) -> std::optional<exit_code>;

// Reads a file. Fails with NotFound when it can't be opened.
auto readFile(const std::string &path) -> result<std::string>;

} // namespace parsleyloft
