// A backend server of the soak as a process of its own, whose answers are given byte by byte. It
// records each request that it runs in its journal before the work begins.
#pragma once

#include "command/subcommand.h"
#include "soak/scene.h"

namespace parsleyloft {

// The command line of one server process.
struct server_process_options
{
    std::uint64_t seed = 1;
    std::string id;
    endpoint address;
    std::string journalPath;
    bool keyed = false;
    std::set<scene_trouble> troubles;
};

auto toArguments(const server_process_options &options) -> std::vector<std::string>;

// The subcommand "server". Serves until the process is ended.
auto runServerProcess(const arguments &rest) -> exit_code;

} // namespace parsleyloft
