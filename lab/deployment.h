// Derives the settings, command lines and service registrations of a test deployment.
#pragma once

#include "command/subcommand.h"
#include "core/error.h"
#include "generated/deployment.pb.h"
#include "generated/platform.pb.h"
#include "generated/settings.pb.h"

namespace parsleyloft {

struct planned_backend
{
    std::string id;
    wire::ListedService listed;
    std::vector<std::string> arguments;
};

struct deployment_plan
{
    std::string platformAddress;
    std::vector<wire::Settings> hosts;
    std::vector<planned_backend> backends;
    std::vector<wire::ListedService> listedHosts;
    std::string callerAddresses;
    std::string mix;
};

// Journal paths are inside the directory. Ports are assigned consecutively from firstPort.
auto planDeployment(const wire::Deployment &deployment, const std::string &directory,
                    std::uint16_t firstPort) -> deployment_plan;

auto runPlan(const arguments &args) -> exit_code;

} // namespace parsleyloft
