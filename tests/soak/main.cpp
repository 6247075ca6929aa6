// The soak: real processes of hosts and servers under faults from outside, and a check of what
// callers and servers saw.
#include "soak/run_command.h"
#include "soak/server_process.h"

auto main(int count, char **values) -> int
{
    using namespace parsleyloft;
    const std::vector<subcommand> subcommands{
            {"run", "play one scene and judge it", runSceneCommand},
            {"server", "run a backend server of a scene", runServerProcess},
    };
    return static_cast<int>(runSubcommand("soak", subcommands, count, values));
}
