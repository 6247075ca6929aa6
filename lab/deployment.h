// Plans the processes of a deployment: settings, command lines, registrations.
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

// Journals go to the directory. Ports are taken in a row from the first.
auto planDeployment(const wire::Deployment &deployment, const std::string &directory,
                    std::uint16_t firstPort) -> deployment_plan;

auto runPlan(const arguments &rest) -> exit_code;

} // namespace parsleyloft
