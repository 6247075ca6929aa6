// The test bench: stand-ins for external systems, a load generator and the auditor. Not deployed.
#include "lab/auditor.h"
#include "lab/backend_stand_in.h"
#include "lab/deployment.h"
#include "lab/load_generator.h"
#include "lab/platform_stand_in.h"

auto main(int count, char **values) -> int
{
    using namespace parsleyloft;
    const std::vector<subcommand> subcommands{
            {"platform", "run a stand-in for the platform: key-value service and host list",
             runPlatform},
            {"backend", "run a stand-in for a backend server that owns keys", runBackend},
            {"plan", "write the files of a deployment", runPlan},
            {"load", "generate an open-loop load of several classes", runLoad},
            {"audit", "check journals against the invariants", runAudit},
    };
    return static_cast<int>(runSubcommand("parsleyloft-lab", subcommands, count, values));
}
