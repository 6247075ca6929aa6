// A small deployment of real processes on loopback, for tests of failures.
//
// Everything waits on events with generous limits, so that no verdict depends on how fast
// the machine is. Journals are judged by the auditor.
#pragma once

#include "generated/dump.pb.h"
#include "generated/report.pb.h"
#include "lab/deployment.h"
#include "support/child_process.h"
#include "transport/blocking_call.h"

#include <functional>
#include <sys/types.h>

namespace parsleyloft {

struct cluster
{
    // Starts the platform, all backend servers and hosts, sets the classes, and waits until
    // every shard is owned.
    cluster();
    // Ends every process that is still running and removes the journals.
    ~cluster();

    cluster(const cluster &) = delete;
    auto operator=(const cluster &) -> cluster & = delete;

    wire::Deployment deployment;
    deployment_plan plan;
    std::string directory;
    std::map<std::string, pid_t> processes;
    // Holds the claim on this cluster's range of ports. Not inherited by the processes.
    int portClaim = -1;
    std::unique_ptr<worker_pool> workers = startWorkers(1);
    http_client client = makeHttpClient(*workers, 0);
};

auto sendSignal(cluster &cluster, const std::string &name, int signal) -> void;

// Waits for the process to end and returns its exit code, or -1 when a signal ended it.
auto awaitExit(cluster &cluster, const std::string &name) -> int;

auto startHost(cluster &cluster, const std::string &name) -> void;

// Starts the deployment's load, multiplied by the factor, under the given prefix.
auto startLoad(cluster &cluster, const std::string &prefix, double seconds, double factor = 1)
        -> void;

// Waits for the load's end and reads its report.
auto awaitLoad(cluster &cluster, const std::string &prefix) -> wire::LoadRunReport;

// Lets the load run on: waits until so many more calls have ended.
auto awaitCalls(cluster &cluster, const std::string &prefix, std::uint64_t count) -> void;

auto callerAddress(const cluster &cluster, const std::string &host) -> std::string;
auto postRequest(cluster &cluster, const std::string &address, const std::string &target,
                 const std::string &body) -> http_response;
auto callClass(cluster &cluster, const std::string &host, const std::string &className,
               const std::string &id, const std::string &key) -> http_response;

// The state of a host, or nothing when it doesn't answer.
auto fetchDump(cluster &cluster, const std::string &host) -> std::optional<wire::Dump>;

// The host that leads by its own word.
auto findLeader(cluster &cluster) -> std::string;

// The host that may send to the group, as another host sees it.
auto findHolder(cluster &cluster, const std::string &service, const std::string &domain)
        -> std::string;

// True when every shard has an owner in the table of each running host.
auto allShardsOwned(cluster &cluster) -> bool;

auto setPlatformFaults(cluster &cluster, const std::string &faults) -> void;
auto setBackendFaults(cluster &cluster, const std::string &backend, const std::string &faults)
        -> void;
auto setListedState(cluster &cluster, const std::string &backend, const std::string &state) -> void;

// Cuts the hosts of a failure domain from all others and from the platform, or heals it.
auto setDomainCut(cluster &cluster, const std::string &domain, bool cut) -> void;

// Judges all journals. Fails the test on any breach, and when nothing was judged.
auto checkAudit(cluster &cluster) -> wire::AuditReport;

auto countOutcomes(const wire::LoadRunReport &report, const std::string &className,
                   const std::string &outcome) -> std::uint64_t;

} // namespace parsleyloft
