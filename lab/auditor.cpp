// Checks the journals of backend servers, callers and hosts against the system's invariants.
#include "lab/auditor.h"

#include "codec/assignment_codec.h"
#include "codec/json.h"
#include "core/time.h"
#include "telemetry/journal.h"

#include <algorithm>
#include <iostream>
#include <limits>
#include <set>

namespace parsleyloft {

namespace {

// Time after which an evacuated failure domain or a leaving server must not receive new work. The
// requirement says "a few seconds".
constexpr duration evacuationLimit = 5s;

// Time within which an accepted configuration change must be in force on every host.
constexpr duration configurationLimit = 13s;

// Service name and shard index.
using shard_id = std::pair<std::string, std::uint32_t>;

// An interval, in microseconds, during which a server held a shard under one epoch.
struct holding
{
    std::string server;
    epoch grantEpoch;
    std::int64_t fromUs = 0;
    std::int64_t untilUs = 0;
};

using holdings = std::map<shard_id, std::vector<holding>>;

auto addBreach(wire::AuditReport &report, invariant violated, const std::string &detail) -> void
{
    auto *added = report.add_breaches();
    added->set_invariant(std::string(nameIn(invariantNames, violated)));
    added->set_detail(detail);
}

auto shardOf(const wire::JournalEvent &event) -> shard_id
{
    return {event.service(), event.shard()};
}

auto describe(const wire::JournalEvent &event) -> std::string
{
    return toJson(event);
}

auto describe(const shard_id &shard, const holding &held) -> std::string
{
    return shard.first + "/" + std::to_string(shard.second) + " held by " + held.server
            + " under epoch " + toString(held.grantEpoch) + " from " + std::to_string(held.fromUs)
            + " to " + std::to_string(held.untilUs) + " us";
}

// Extends the holding that a renewed grant continues, or adds a new one.
auto extendHolding(std::vector<holding> &list, const wire::JournalEvent &event) -> void
{
    const auto grantEpoch = fromWire(event.epoch());
    for (auto held = list.rbegin(); held != list.rend(); ++held) {
        const auto same = held->server == event.server_id() && held->grantEpoch == grantEpoch;
        if (same && event.at_us() <= held->untilUs) {
            held->untilUs = std::max(held->untilUs, event.until_us());
            return;
        }
    }
    list.push_back({event.server_id(), grantEpoch, event.at_us(), event.until_us()});
}

auto endHolding(std::vector<holding> &list, const wire::JournalEvent &event) -> void
{
    const auto grantEpoch = fromWire(event.epoch());
    for (auto held = list.rbegin(); held != list.rend(); ++held) {
        if (held->server == event.server_id() && held->grantEpoch == grantEpoch) {
            held->untilUs = std::min(held->untilUs, event.at_us());
            return;
        }
    }
}

auto collectHoldings(const event_list &events) -> holdings
{
    holdings all;
    for (const auto &event : events) {
        if (event.kind() == wire::JOURNAL_KIND_GRANT_HELD)
            extendHolding(all[shardOf(event)], event);
        if (event.kind() == wire::JOURNAL_KIND_GRANT_RELEASED)
            endHolding(all[shardOf(event)], event);
    }
    for (auto &[shard, list] : all)
        std::sort(list.begin(), list.end(),
                  [](const auto &left, const auto &right) { return left.fromUs < right.fromUs; });
    return all;
}

auto checkOneOwner(const holdings &all, wire::AuditReport &report) -> void
{
    for (const auto &[shard, list] : all) {
        for (std::size_t left = 0; left < list.size(); ++left) {
            for (std::size_t right = left + 1; right < list.size(); ++right) {
                const auto overlap = list[right].fromUs < list[left].untilUs;
                if (overlap && list[left].server != list[right].server)
                    addBreach(report, invariant::OneOwner,
                              describe(shard, list[left]) + " and " + describe(shard, list[right]));
            }
        }
    }
}

// Checks that no work of a shard starts at a server while another server holds the shard.
auto checkRunsAtOwner(const event_list &events, const holdings &all, wire::AuditReport &report)
        -> void
{
    for (const auto &event : events) {
        const auto found = all.find(shardOf(event));
        if (event.kind() != wire::JOURNAL_KIND_RUN_STARTED || event.key().empty()
            || found == all.end())
            continue;
        for (const auto &held : found->second) {
            const auto during = held.fromUs <= event.at_us() && event.at_us() < held.untilUs;
            if (during && held.server != event.server_id())
                addBreach(report, invariant::OneOwner,
                          describe(event) + " while " + describe(found->first, held));
        }
    }
}

auto checkEpochs(const event_list &events, const holdings &all, wire::AuditReport &report) -> void
{
    for (const auto &[shard, list] : all) {
        for (std::size_t index = 1; index < list.size(); ++index) {
            if (list[index].grantEpoch < list[index - 1].grantEpoch)
                addBreach(report, invariant::AssignmentsSurvive,
                          "epoch decreased: " + describe(shard, list[index]));
        }
    }
    std::map<std::pair<shard_id, epoch>, std::string> owners;
    std::map<std::pair<std::string, shard_id>, epoch> newest;
    for (const auto &event : events) {
        // A restarted process starts from an empty table.
        if (event.kind() == wire::JOURNAL_KIND_STARTED)
            std::erase_if(newest,
                          [&](const auto &entry) { return entry.first.first == event.writer(); });
        if (event.kind() != wire::JOURNAL_KIND_ASSIGNMENT)
            continue;
        const auto grantEpoch = fromWire(event.epoch());
        const auto [entry, added] =
                owners.try_emplace({shardOf(event), grantEpoch}, event.server_id());
        if (!added && entry->second != event.server_id())
            addBreach(report, invariant::AssignmentsSurvive,
                      "two owners under one epoch: " + entry->second + " and " + describe(event));
        auto &last = newest[{event.writer(), shardOf(event)}];
        if (grantEpoch < last)
            addBreach(report, invariant::AssignmentsSurvive,
                      "host replaced an assignment by an older one: " + describe(event));
        last = grantEpoch;
    }
}

auto checkColdStart(const event_list &events, wire::AuditReport &report) -> void
{
    for (const auto &event : events) {
        if (event.kind() == wire::JOURNAL_KIND_OVERRUN)
            addBreach(report, invariant::ColdStart, describe(event));
    }
}

// Checks that no work starts in a failure domain or at a server that has been out of service for
// longer than the limit.
auto checkEvacuation(const event_list &events, wire::AuditReport &report) -> void
{
    std::map<std::string, std::int64_t> evacuatedSince;
    std::map<std::string, std::int64_t> leavingSince;
    const auto isLate = [&](const auto &since, const std::string &id, std::int64_t timeUs) {
        const auto found = since.find(id);
        return found != since.end() && timeUs > found->second + evacuationLimit.count();
    };
    for (const auto &event : events) {
        switch (event.kind()) {
        case wire::JOURNAL_KIND_DOMAIN_OUT:
            evacuatedSince.try_emplace(event.failure_domain(), event.at_us());
            break;
        case wire::JOURNAL_KIND_DOMAIN_IN:
            evacuatedSince.erase(event.failure_domain());
            break;
        case wire::JOURNAL_KIND_SERVER_LEAVING:
            leavingSince.try_emplace(event.server_id(), event.at_us());
            break;
        case wire::JOURNAL_KIND_SERVER_LIVE:
            leavingSince.erase(event.server_id());
            break;
        case wire::JOURNAL_KIND_RUN_STARTED:
            if (isLate(evacuatedSince, event.failure_domain(), event.at_us()))
                addBreach(report, invariant::DomainOut, describe(event));
            if (isLate(leavingSince, event.server_id(), event.at_us()))
                addBreach(report, invariant::LeavingServer, describe(event));
            break;
        default:
            break;
        }
    }
}

// Counts the runs of each request.
auto countRuns(const event_list &events) -> std::map<std::string, std::uint32_t>
{
    std::map<std::string, std::uint32_t> count;
    for (const auto &event : events) {
        if (event.kind() == wire::JOURNAL_KIND_RUN_STARTED)
            ++count[event.request_id()];
    }
    return count;
}

auto checkCalls(const event_list &events, wire::AuditReport &report) -> void
{
    const auto started = countRuns(events);
    for (const auto &event : events) {
        if (event.kind() != wire::JOURNAL_KIND_CALL_ENDED)
            continue;
        const auto ran = started.contains(event.request_id());
        const auto answered = event.outcome() == "answered";
        if (answered && !event.answer_is_own())
            addBreach(report, invariant::OwnAnswer, describe(event));
        if (answered && !ran)
            addBreach(report, invariant::OwnAnswer,
                      "answered but never executed: " + describe(event));
        if (event.outcome() == "not_run" && ran)
            addBreach(report, invariant::NotRunIsTrue, describe(event));
    }
}

auto checkAtMostOnce(const event_list &events, wire::AuditReport &report) -> void
{
    std::map<std::string, std::uint32_t> count;
    for (const auto &event : events) {
        if (event.kind() != wire::JOURNAL_KIND_RUN_STARTED || event.may_repeat())
            continue;
        if (++count[event.request_id()] > 1)
            addBreach(report, invariant::AtMostOnce, describe(event));
    }
}

struct planned_stop
{
    std::int64_t fromUs = 0;
    std::int64_t untilUs = std::numeric_limits<std::int64_t>::max();
};

// Collects planned stops of hosts, by the address at which each host serves callers.
auto collectStops(const event_list &events) -> std::map<std::string, std::vector<planned_stop>>
{
    std::map<std::string, std::vector<planned_stop>> stops;
    for (const auto &event : events) {
        if (event.kind() == wire::JOURNAL_KIND_STOP_BEGAN)
            stops[event.server_id()].push_back({event.at_us()});
        if (event.kind() == wire::JOURNAL_KIND_STOP_ENDED && !stops[event.server_id()].empty())
            stops[event.server_id()].back().untilUs = event.at_us();
    }
    return stops;
}

// Checks that a planned stop of a host cuts no call that was sent before the stop ended.
auto checkGracefulStop(const event_list &events, wire::AuditReport &report) -> void
{
    const auto stops = collectStops(events);
    std::map<std::string, std::int64_t> sentAt;
    for (const auto &event : events) {
        if (event.kind() == wire::JOURNAL_KIND_CALL_SENT)
            sentAt[event.request_id()] = event.at_us();
        if (event.kind() != wire::JOURNAL_KIND_CALL_ENDED || event.outcome() != "cut")
            continue;
        const auto found = stops.find(event.server_id());
        if (found == stops.end())
            continue;
        const auto sent = sentAt.try_emplace(event.request_id(), event.at_us()).first->second;
        for (const auto &stop : found->second) {
            if (sent <= stop.untilUs && stop.fromUs <= event.at_us())
                addBreach(report, invariant::GracefulStop, describe(event));
        }
    }
}

// The time of each writer's last event, in microseconds.
auto lastEventTimes(const event_list &events) -> std::map<std::string, std::int64_t>
{
    std::map<std::string, std::int64_t> lastUs;
    for (const auto &event : events)
        lastUs[event.writer()] = event.at_us();
    return lastUs;
}

struct host_revisions
{
    // When the host applied each revision: time in microseconds, and revision.
    std::vector<std::pair<std::int64_t, std::uint64_t>> applied;
    std::int64_t startedAtUs = 0;
};

// Checks that the revision at each host only increases, and that a revision has the same content
// at every host.
auto checkRevisions(const event_list &events, wire::AuditReport &report)
        -> std::map<std::string, host_revisions>
{
    std::map<std::string, host_revisions> hosts;
    std::map<std::uint64_t, std::string> digests;
    for (const auto &event : events) {
        if (event.kind() == wire::JOURNAL_KIND_STARTED)
            hosts[event.writer()] = {{}, event.at_us()};
        if (event.kind() != wire::JOURNAL_KIND_CONFIGURATION)
            continue;
        auto &host = hosts[event.writer()];
        if (!host.applied.empty() && event.revision() <= host.applied.back().second)
            addBreach(report, invariant::ConfigurationHolds,
                      "revision did not increase: " + describe(event));
        host.applied.emplace_back(event.at_us(), event.revision());
        const auto [entry, added] = digests.try_emplace(event.revision(), event.digest());
        if (!added && entry->second != event.digest())
            addBreach(report, invariant::ConfigurationHolds,
                      "two contents under one revision: " + describe(event));
    }
    return hosts;
}

// True if the host had applied the revision, or a higher one, by the given time.
auto inForceBy(const host_revisions &host, std::uint64_t revision, std::int64_t timeUs) -> bool
{
    return std::any_of(host.applied.begin(), host.applied.end(), [&](const auto &change) {
        return change.second >= revision && change.first <= timeUs;
    });
}

// Checks that each accepted change is in force within the limit at every host that ran during the
// whole time.
auto checkConfiguration(const event_list &events, wire::AuditReport &report) -> void
{
    const auto hosts = checkRevisions(events, report);
    const auto lastEventUs = lastEventTimes(events);
    std::set<std::uint64_t> accepted;
    for (const auto &event : events) {
        if (event.kind() != wire::JOURNAL_KIND_ACCEPTED_CHANGE)
            continue;
        if (!accepted.insert(event.revision()).second)
            addBreach(report, invariant::ConfigurationHolds,
                      "revision accepted twice: " + describe(event));
        const auto deadlineUs = event.at_us() + configurationLimit.count();
        for (const auto &[writer, host] : hosts) {
            const auto ranThroughout =
                    host.startedAtUs <= event.at_us() && lastEventUs.at(writer) >= deadlineUs;
            if (ranThroughout && !inForceBy(host, event.revision(), deadlineUs))
                addBreach(report, invariant::ConfigurationHolds,
                          "not in force at " + writer + ": " + describe(event));
        }
    }
}

// Adds the number of owner changes, and statistics of the gaps between holdings during which no
// server held a shard.
auto addGaps(const holdings &all, wire::AuditReport &report) -> void
{
    std::vector<double> gapsMs;
    std::uint64_t changes = 0;
    for (const auto &[shard, list] : all) {
        for (std::size_t index = 1; index < list.size(); ++index) {
            const auto gapUs = list[index].fromUs - list[index - 1].untilUs;
            if (list[index].server != list[index - 1].server)
                ++changes;
            if (gapUs > 0)
                gapsMs.push_back(static_cast<double>(gapUs) / 1000.0);
        }
    }
    report.set_owner_changes(changes);
    report.set_gaps(gapsMs.size());
    if (gapsMs.empty())
        return;
    std::sort(gapsMs.begin(), gapsMs.end());
    report.set_gap_p50_ms(gapsMs[gapsMs.size() / 2]);
    report.set_gap_max_ms(gapsMs.back());
}

auto addCounts(const event_list &events, wire::AuditReport &report) -> void
{
    for (const auto &event : events) {
        if (event.kind() == wire::JOURNAL_KIND_RUN_STARTED)
            report.set_runs(report.runs() + 1);
        if (event.kind() == wire::JOURNAL_KIND_CALL_ENDED)
            report.set_calls(report.calls() + 1);
        if (event.kind() == wire::JOURNAL_KIND_GRANT_HELD)
            report.set_grants(report.grants() + 1);
    }
}

// Reads all journals and merges their events in order of time.
auto readJournals(const std::vector<std::string> &paths) -> result<event_list>
{
    event_list all;
    for (const auto &path : paths) {
        auto events = readJournal(path);
        if (!events)
            return tl::unexpected(events.error());
        std::move(events->begin(), events->end(), std::back_inserter(all));
    }
    std::stable_sort(all.begin(), all.end(), [](const auto &left, const auto &right) {
        return left.at_us() < right.at_us();
    });
    return all;
}

auto printReport(const wire::AuditReport &report) -> void
{
    constexpr int maxPrinted = 20;
    std::cout << "judged: " << report.runs() << " runs, " << report.calls() << " calls, "
              << report.grants() << " grants, " << report.owner_changes() << " owner changes, "
              << report.gaps() << " gaps (p50 " << report.gap_p50_ms() << " ms, max "
              << report.gap_max_ms() << " ms)\n";
    for (int index = 0; index < std::min(maxPrinted, report.breaches_size()); ++index)
        std::cout << "breach: " << report.breaches(index).invariant() << ": "
                  << report.breaches(index).detail() << "\n";
    std::cout << "audit: " << report.breaches_size() << " breaches\n";
}

} // namespace

auto auditEvents(const event_list &events) -> wire::AuditReport
{
    wire::AuditReport report;
    const auto all = collectHoldings(events);
    addCounts(events, report);
    addGaps(all, report);
    checkOneOwner(all, report);
    checkRunsAtOwner(events, all, report);
    checkEpochs(events, all, report);
    checkColdStart(events, report);
    checkEvacuation(events, report);
    checkCalls(events, report);
    checkAtMostOnce(events, report);
    checkGracefulStop(events, report);
    checkConfiguration(events, report);
    return report;
}

auto runAudit(const arguments &args) -> exit_code
{
    namespace options = boost::program_options;
    std::vector<std::string> paths;
    bool json = false;
    options::options_description description("options");
    description.add_options()("help", "show this help");
    description.add_options()("json", options::bool_switch(&json), "print the report as JSON");
    description.add_options()("journal", options::value(&paths)->required(),
                              "journal files to check");
    options::positional_options_description positional;
    positional.add("journal", -1);
    options::variables_map values;
    const auto exitCode = parseOptions(args, description, positional, values);
    if (exitCode)
        return *exitCode;
    const auto events = readJournals(paths);
    if (!events) {
        std::cerr << events.error().detail << "\n";
        return exit_code::Usage;
    }
    const auto report = auditEvents(*events);
    if (json)
        std::cout << toJson(report) << "\n";
    else
        printReport(report);
    const auto complete = report.runs() > 0 && report.calls() > 0;
    if (!complete)
        std::cerr << "the journals contain no runs or no calls\n";
    return complete && report.breaches_size() == 0 ? exit_code::Success : exit_code::Failed;
}

} // namespace parsleyloft
