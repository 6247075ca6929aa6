// The test bench: stand-ins for the outside systems, a load, and the auditor. Not shipped.
#include "lab/auditor.h"
#include "lab/backend_stand_in.h"
#include "lab/deployment.h"
#include "lab/load_generator.h"
#include "lab/platform_stand_in.h"

auto main(int count, char **values) -> int
{
    using namespace parsleyloft;
    const std::vector<subcommand> known{
            {"platform", "key-value service and host list", runPlatform},
            {"backend", "a backend server that owns keys", runBackend},
            {"plan", "write the files of a deployment", runPlan},
            {"load", "an open-loop load of several classes", runLoad},
            {"audit", "judge journals by the invariants", runAudit},
    };
    return static_cast<int>(runSubcommand("parsleyloft-lab", known, count, values));
}
