// A small deployment of real processes on loopback, for tests of failures.
//
// Tests wait for events with generous limits, so that no result depends on the speed of the
// machine. The auditor checks the journals.
#pragma once

#include "generated/dump.pb.h"
#include "generated/report.pb.h"
#include "lab/deployment.h"
#include "support/child_process.h"
#include "transport/blocking_call.h"

#include <functional>
#include <sys/types.h>
#include <vector>

namespace parsleyloft {

struct cluster
{
    // Starts the deployment of small.json.
    cluster();
    // Starts the platform, all backend servers and hosts, registers the other servers, sets the
    // classes, and waits until every shard is owned.
    cluster(const wire::Deployment &description, const std::vector<wire::ListedService> &others);
    // Ends every process that is still running and removes the journals.
    ~cluster();

    cluster(const cluster &) = delete;
    auto operator=(const cluster &) -> cluster & = delete;

    // Destroyed last. The processes do not inherit its socket.
    port_claim ports;
    wire::Deployment deployment;
    deployment_plan plan;
    std::string directory;
    std::map<std::string, pid_t> processes;
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

// Waits for the load generator to finish and reads its report.
auto awaitLoad(cluster &cluster, const std::string &prefix) -> wire::LoadRunReport;

// Waits until the load generator has completed this many more calls.
auto awaitCalls(cluster &cluster, const std::string &prefix, std::uint64_t count) -> void;

auto callerAddress(const cluster &cluster, const std::string &host) -> std::string;
auto postRequest(cluster &cluster, const std::string &address, const std::string &target,
                 const std::string &body) -> http_response;
auto callClass(cluster &cluster, const std::string &host, const std::string &className,
               const std::string &id, const std::string &key) -> http_response;

// The state of a host, or nothing when it doesn't answer.
auto fetchDump(cluster &cluster, const std::string &host) -> std::optional<wire::Dump>;

// Waits for a host that reports itself as the licensed leader.
auto findLeader(cluster &cluster) -> std::string;

// The host that holds the group, by the leader's table.
auto findHolder(cluster &cluster, const std::string &service, const std::string &domain)
        -> std::string;

// True when each running host has a lease and a table in which every shard and group is held.
auto allShardsOwned(cluster &cluster) -> bool;

auto setPlatformFaults(cluster &cluster, const std::string &faults) -> void;
auto setBackendFaults(cluster &cluster, const std::string &backend, const std::string &faults)
        -> void;
// Sets the state of a backend server in the platform's host list.
auto setListedState(cluster &cluster, const std::string &backend, const std::string &state) -> void;

// Cuts the links between the hosts of a failure domain and all others and the platform, or restores
// them.
auto setDomainCut(cluster &cluster, const std::string &domain, bool cut) -> void;

// Audits all journals. Fails the test on any breach, and when the journals hold no runs or calls.
auto checkAudit(cluster &cluster) -> wire::AuditReport;

auto countOutcomes(const wire::LoadRunReport &report, const std::string &className,
                   const std::string &outcome) -> std::uint64_t;

} // namespace parsleyloft
