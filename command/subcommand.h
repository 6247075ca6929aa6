// The frame of a program with subcommands: lookup, options, help.
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

// Runs the subcommand that the first argument names. Prints help for "--help" or nothing.
auto runSubcommand(std::string_view program, const std::vector<subcommand> &known, int count,
                   const char *const *values) -> exit_code;

// Reads options. Prints the help or the error and returns the exit code when there is
// nothing left to do.
auto parseOptions(const arguments &rest, const boost::program_options::options_description &options,
                  const boost::program_options::positional_options_description &positional,
                  boost::program_options::variables_map &values) -> std::optional<exit_code>;

// Reads a whole file. Fails with NotFound.
auto readFile(const std::string &path) -> result<std::string>;

} // namespace parsleyloft
