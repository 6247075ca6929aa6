// The shipped program: the hosts' daemons and the commands for operators and callers.
#include "command/call_command.h"
#include "command/configuration_command.h"
#include "command/operator_command.h"
#include "command/route_command.h"
#include "command/serve_command.h"

auto main(int count, char **values) -> int
{
    using namespace parsleyloft;
    const std::vector<subcommand> subcommands{
            {"serve", "run an entry host's daemon", runServe},
            {"route", "run a host that routes on the platform", runRoute},
            {"check", "check a settings file and print what is in force", runCheck},
            {"configuration", "check a configuration of the platform before it is sent",
             runConfiguration},
            {"class", "set, remove or list classes of work", runClass},
            {"domain", "take failure domains out of service and in", runDomain},
            {"host", "take hosts and backend servers out of service and in", runHost},
            {"status", "who owns what, and which class misses its target", runStatus},
            {"dump", "the whole state of one process", runDump},
            {"call", "send one request as a caller", runCall},
    };
    return static_cast<int>(runSubcommand("parsleyloft", subcommands, count, values));
}
