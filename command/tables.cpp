// Human-readable tables of the state that a host reports.
#include "command/tables.h"

#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

namespace parsleyloft {

namespace {

constexpr int nameWidth = 20;
constexpr int numberWidth = 12;

auto printCell(const std::string &text) -> void
{
    std::cout << std::left << std::setw(nameWidth) << text << " ";
}

auto printNumber(const std::string &text) -> void
{
    std::cout << std::right << std::setw(numberWidth) << text << " ";
}

auto countShards(const wire::Dump &dump) -> std::map<std::string, std::uint32_t>
{
    std::map<std::string, std::uint32_t> counts;
    for (const auto &service : dump.table().shards()) {
        for (int index = 0; index < service.owners_size(); ++index) {
            const auto held = service.phases(index) != wire::ASSIGNMENT_PHASE_VACANT;
            const auto owner = static_cast<int>(service.owners(index));
            if (held && owner < service.server_ids_size())
                ++counts[service.server_ids(owner)];
        }
    }
    for (const auto &slice : dump.key_slices())
        ++counts[slice.server_id()];
    return counts;
}

auto findSender(const wire::Dump &dump, const wire::ServerInfo &server) -> std::string
{
    for (const auto &group : dump.table().groups()) {
        const auto isServersGroup = group.service() == server.service()
                && group.failure_domain() == server.failure_domain();
        if (isServersGroup && group.phase() == wire::ASSIGNMENT_PHASE_HELD)
            return group.holder();
    }
    return "none";
}

auto statusOf(const wire::ClassOfWork &work, const wire::ClassState &counts) -> wire::ClassStatus
{
    wire::ClassStatus status;
    const auto requests = counts.answered() + counts.refused() + counts.unknown();
    const auto refused = requests == 0 ? 0 : counts.refused() * 1000 / requests;
    status.set_name(work.name());
    status.set_requests(requests);
    status.set_refused_permille(static_cast<std::uint32_t>(refused));
    status.set_mean_wait_ms(static_cast<double>(counts.mean_wait_us()) / 1000.0);
    std::string missReason;
    if (refused > work.max_refused_permille())
        missReason = "refused more than " + std::to_string(work.max_refused_permille())
                + " in 1000, last for " + counts.last_refusal();
    else if (counts.late() * 100 > requests)
        missReason = "more than 1 in 100 waited longer than " + std::to_string(work.max_wait_ms())
                + " ms";
    status.set_on_target(missReason.empty());
    status.set_why(missReason);
    return status;
}

auto classState(const wire::Dump &dump, const std::string &name) -> wire::ClassState
{
    for (const auto &counts : dump.classes()) {
        if (counts.name() == name)
            return counts;
    }
    return {};
}

auto printOwners(const wire::Status &status) -> void
{
    for (const auto *title : {"service", "server", "failure domain", "sender"})
        printCell(title);
    printNumber("shards");
    std::cout << "\n";
    for (const auto &owner : status.owners()) {
        printCell(owner.service());
        printCell(owner.server_id());
        printCell(owner.failure_domain());
        printCell(owner.sender());
        printNumber(std::to_string(owner.shards()));
        std::cout << "\n";
    }
}

auto printClassStatus(const wire::Status &status) -> void
{
    printCell("class");
    for (const auto *title : {"requests", "refused", "wait ms"})
        printNumber(title);
    std::cout << "target\n";
    for (const auto &work : status.classes()) {
        printCell(work.name());
        printNumber(std::to_string(work.requests()));
        printNumber(std::to_string(work.refused_permille()) + "/1000");
        std::ostringstream wait;
        wait << std::fixed << std::setprecision(2) << work.mean_wait_ms();
        printNumber(wait.str());
        std::cout << (work.on_target() ? "met" : "missed: " + work.why()) << "\n";
    }
}

} // namespace

auto statusOf(const wire::Dump &dump) -> wire::Status
{
    wire::Status status;
    status.set_host_id(dump.host_id());
    status.set_role(dump.role());
    status.set_leader(dump.leader());
    status.set_store_reachable(dump.store_reachable());
    status.set_revision(dump.configuration().revision());
    *status.mutable_configuration_defects() = dump.configuration_defects();
    const auto counts = countShards(dump);
    for (const auto &server : dump.table().servers()) {
        auto *owner = status.add_owners();
        owner->set_service(server.service());
        owner->set_server_id(server.server_id());
        owner->set_failure_domain(server.failure_domain());
        owner->set_sender(findSender(dump, server));
        const auto found = counts.find(server.server_id());
        owner->set_shards(found == counts.end() ? 0 : found->second);
    }
    for (const auto &work : dump.configuration().classes())
        *status.add_classes() = statusOf(work, classState(dump, work.name()));
    return status;
}

auto printClasses(const wire::Configuration &config) -> void
{
    printCell("class");
    printCell("service");
    for (const auto *title : {"max wait ms", "may repeat", "max refused"})
        printNumber(title);
    std::cout << "\n";
    for (const auto &work : config.classes()) {
        printCell(work.name());
        printCell(work.service());
        printNumber(std::to_string(work.max_wait_ms()));
        printNumber(work.may_repeat() ? "yes" : "no");
        printNumber(std::to_string(work.max_refused_permille()) + "/1000");
        std::cout << "\n";
    }
}

auto printDomains(const wire::Configuration &config) -> void
{
    std::cout << "revision " << config.revision() << ", failure domains out of service:\n";
    for (const auto &domain : config.domains_out())
        std::cout << "  " << domain << "\n";
}

auto printHosts(const wire::Configuration &config) -> void
{
    std::cout << "revision " << config.revision()
              << ", hosts and backend servers out of service:\n";
    for (const auto &host : config.hosts_out())
        std::cout << "  " << host << "\n";
}

auto printStatus(const wire::Dump &dump) -> void
{
    const auto status = statusOf(dump);
    std::cout << "host " << status.host_id() << ", " << status.role() << ", leader "
              << (status.leader().empty() ? "unknown" : status.leader()) << ", revision "
              << status.revision() << ", key-value service "
              << (status.store_reachable() ? "reachable" : "not reachable") << "\n\n";
    for (const auto &defect : status.configuration_defects())
        std::cout << "configuration: " << defect << "\n";
    printOwners(status);
    std::cout << "\n";
    printClassStatus(status);
}

} // namespace parsleyloft
