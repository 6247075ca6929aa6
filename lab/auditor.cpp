// Judges journals of backend servers, callers and hosts by the users' invariants.
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

// "A few seconds" after which a failure domain or server gets no new work.
constexpr duration leaveLimit = 5s;

// A configuration is in force everywhere after so long.
constexpr duration configurationLimit = 13s;

using string_key = std::pair<std::string, std::uint32_t>;

struct holding
{
    std::string server;
    epoch given;
    std::int64_t from = 0;
    std::int64_t until = 0;
};

using holdings = std::map<string_key, std::vector<holding>>;

auto addBreach(wire::AuditReport &report, invariant broken, const std::string &detail) -> void
{
    auto *added = report.add_breaches();
    added->set_invariant(std::string(nameIn(invariantNames, broken)));
    added->set_detail(detail);
}

auto shardOf(const wire::JournalEvent &event) -> string_key
{
    return {event.service(), event.shard()};
}

auto describe(const wire::JournalEvent &event) -> std::string
{
    return toJson(event);
}

auto describe(const string_key &shard, const holding &one) -> std::string
{
    return shard.first + "/" + std::to_string(shard.second) + " at " + one.server + " under "
            + toString(one.given) + " from " + std::to_string(one.from) + " until "
            + std::to_string(one.until);
}

auto extendHolding(std::vector<holding> &list, const wire::JournalEvent &event) -> void
{
    const auto given = fromWire(event.epoch());
    for (auto one = list.rbegin(); one != list.rend(); ++one) {
        const auto same = one->server == event.server_id() && one->given == given;
        if (same && event.at_us() <= one->until) {
            one->until = std::max(one->until, event.until_us());
            return;
        }
    }
    list.push_back({event.server_id(), given, event.at_us(), event.until_us()});
}

auto endHolding(std::vector<holding> &list, const wire::JournalEvent &event) -> void
{
    const auto given = fromWire(event.epoch());
    for (auto one = list.rbegin(); one != list.rend(); ++one) {
        if (one->server == event.server_id() && one->given == given) {
            one->until = std::min(one->until, event.at_us());
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
                  [](const auto &left, const auto &right) { return left.from < right.from; });
    return all;
}

auto checkOneOwner(const holdings &all, wire::AuditReport &report) -> void
{
    for (const auto &[shard, list] : all) {
        for (std::size_t left = 0; left < list.size(); ++left) {
            for (std::size_t right = left + 1; right < list.size(); ++right) {
                const auto overlap = list[right].from < list[left].until;
                if (overlap && list[left].server != list[right].server)
                    addBreach(report, invariant::OneOwner,
                              describe(shard, list[left]) + " and " + describe(shard, list[right]));
            }
        }
    }
}

// Work of a shard that starts at one server while another holds the shard.
auto checkRunsAtOwner(const event_list &events, const holdings &all, wire::AuditReport &report)
        -> void
{
    for (const auto &event : events) {
        const auto found = all.find(shardOf(event));
        if (event.kind() != wire::JOURNAL_KIND_RUN_STARTED || event.key().empty()
            || found == all.end())
            continue;
        for (const auto &one : found->second) {
            const auto during = one.from <= event.at_us() && event.at_us() < one.until;
            if (during && one.server != event.server_id())
                addBreach(report, invariant::OneOwner,
                          describe(event) + " while " + describe(found->first, one));
        }
    }
}

auto checkEpochs(const event_list &events, const holdings &all, wire::AuditReport &report) -> void
{
    for (const auto &[shard, list] : all) {
        for (std::size_t index = 1; index < list.size(); ++index) {
            if (list[index].given < list[index - 1].given)
                addBreach(report, invariant::AssignmentsSurvive,
                          "an epoch went back: " + describe(shard, list[index]));
        }
    }
    std::map<std::pair<string_key, epoch>, std::string> owners;
    std::map<std::pair<std::string, string_key>, epoch> newest;
    for (const auto &event : events) {
        // A new process learns the table anew.
        if (event.kind() == wire::JOURNAL_KIND_STARTED)
            std::erase_if(newest,
                          [&](const auto &entry) { return entry.first.first == event.writer(); });
        if (event.kind() != wire::JOURNAL_KIND_ASSIGNMENT)
            continue;
        const auto given = fromWire(event.epoch());
        const auto [known, added] = owners.try_emplace({shardOf(event), given}, event.server_id());
        if (!added && known->second != event.server_id())
            addBreach(report, invariant::AssignmentsSurvive,
                      "one epoch, two owners: " + known->second + " and " + describe(event));
        auto &last = newest[{event.writer(), shardOf(event)}];
        if (given < last)
            addBreach(report, invariant::AssignmentsSurvive,
                      "an assignment was lost at a host: " + describe(event));
        last = given;
    }
}

auto checkColdStart(const event_list &events, wire::AuditReport &report) -> void
{
    for (const auto &event : events) {
        if (event.kind() == wire::JOURNAL_KIND_OVERRUN)
            addBreach(report, invariant::ColdStart, describe(event));
    }
}

// Work that starts in a place that has been out of service for longer than the limit.
auto checkNoNewWork(const event_list &events, wire::AuditReport &report) -> void
{
    std::map<std::string, std::int64_t> domainsOut;
    std::map<std::string, std::int64_t> serversLeaving;
    const auto late = [&](const auto &since, const std::string &id, std::int64_t at) {
        const auto found = since.find(id);
        return found != since.end() && at > found->second + leaveLimit.count();
    };
    for (const auto &event : events) {
        switch (event.kind()) {
        case wire::JOURNAL_KIND_DOMAIN_OUT:
            domainsOut.try_emplace(event.failure_domain(), event.at_us());
            break;
        case wire::JOURNAL_KIND_DOMAIN_IN:
            domainsOut.erase(event.failure_domain());
            break;
        case wire::JOURNAL_KIND_SERVER_LEAVING:
            serversLeaving.try_emplace(event.server_id(), event.at_us());
            break;
        case wire::JOURNAL_KIND_SERVER_LIVE:
            serversLeaving.erase(event.server_id());
            break;
        case wire::JOURNAL_KIND_RUN_STARTED:
            if (late(domainsOut, event.failure_domain(), event.at_us()))
                addBreach(report, invariant::DomainOut, describe(event));
            if (late(serversLeaving, event.server_id(), event.at_us()))
                addBreach(report, invariant::LeavingServer, describe(event));
            break;
        default:
            break;
        }
    }
}

auto startedRuns(const event_list &events) -> std::map<std::string, std::uint32_t>
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
    const auto started = startedRuns(events);
    for (const auto &event : events) {
        if (event.kind() != wire::JOURNAL_KIND_CALL_ENDED)
            continue;
        const auto ran = started.contains(event.request_id());
        const auto answered = event.outcome() == "answered";
        if (answered && !event.answer_is_own())
            addBreach(report, invariant::OwnAnswer, describe(event));
        if (answered && !ran)
            addBreach(report, invariant::OwnAnswer, "answered but never run: " + describe(event));
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
    std::int64_t from = 0;
    std::int64_t until = std::numeric_limits<std::int64_t>::max();
};

// Planned stops by the address at which the host serves callers.
auto collectStops(const event_list &events) -> std::map<std::string, std::vector<planned_stop>>
{
    std::map<std::string, std::vector<planned_stop>> stops;
    for (const auto &event : events) {
        if (event.kind() == wire::JOURNAL_KIND_STOP_BEGAN)
            stops[event.server_id()].push_back({event.at_us()});
        if (event.kind() == wire::JOURNAL_KIND_STOP_ENDED && !stops[event.server_id()].empty())
            stops[event.server_id()].back().until = event.at_us();
    }
    return stops;
}

// Calls that were sent to a process before it stopped as planned, and cut by the stop.
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
            if (sent <= stop.until && stop.from <= event.at_us())
                addBreach(report, invariant::GracefulStop, describe(event));
        }
    }
}

auto lastSeen(const event_list &events) -> std::map<std::string, std::int64_t>
{
    std::map<std::string, std::int64_t> seen;
    for (const auto &event : events)
        seen[event.writer()] = event.at_us();
    return seen;
}

struct host_revisions
{
    // When each revision, or a higher one, came into force at the host.
    std::vector<std::pair<std::int64_t, std::uint64_t>> taken;
    std::int64_t startedAt = 0;
};

auto checkRevisionsRise(const event_list &events, wire::AuditReport &report)
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
        if (!host.taken.empty() && event.revision() <= host.taken.back().second)
            addBreach(report, invariant::ConfigurationHolds,
                      "a revision went back: " + describe(event));
        host.taken.emplace_back(event.at_us(), event.revision());
        const auto [known, added] = digests.try_emplace(event.revision(), event.digest());
        if (!added && known->second != event.digest())
            addBreach(report, invariant::ConfigurationHolds,
                      "one revision, two contents: " + describe(event));
    }
    return hosts;
}

auto inForceBy(const host_revisions &host, std::uint64_t revision, std::int64_t at) -> bool
{
    return std::any_of(host.taken.begin(), host.taken.end(), [&](const auto &taken) {
        return taken.second >= revision && taken.first <= at;
    });
}

// Hosts that ran during the whole time allowed have to have the change by its end.
auto checkConfiguration(const event_list &events, wire::AuditReport &report) -> void
{
    const auto hosts = checkRevisionsRise(events, report);
    const auto seen = lastSeen(events);
    std::set<std::uint64_t> accepted;
    for (const auto &event : events) {
        if (event.kind() != wire::JOURNAL_KIND_ACCEPTED_CHANGE)
            continue;
        if (!accepted.insert(event.revision()).second)
            addBreach(report, invariant::ConfigurationHolds,
                      "one revision accepted twice: " + describe(event));
        const auto limit = event.at_us() + configurationLimit.count();
        for (const auto &[writer, host] : hosts) {
            const auto judged = host.startedAt <= event.at_us() && seen.at(writer) >= limit;
            if (judged && !inForceBy(host, event.revision(), limit))
                addBreach(report, invariant::ConfigurationHolds,
                          "not in force at " + writer + ": " + describe(event));
        }
    }
}

// Times in which no server held a shard, between two holdings of it.
auto addGaps(const holdings &all, wire::AuditReport &report) -> void
{
    std::vector<double> gaps;
    std::uint64_t changes = 0;
    for (const auto &[shard, list] : all) {
        for (std::size_t index = 1; index < list.size(); ++index) {
            const auto gap = list[index].from - list[index - 1].until;
            if (list[index].server != list[index - 1].server)
                ++changes;
            if (gap > 0)
                gaps.push_back(static_cast<double>(gap) / 1000.0);
        }
    }
    report.set_owner_changes(changes);
    report.set_gaps(gaps.size());
    if (gaps.empty())
        return;
    std::sort(gaps.begin(), gaps.end());
    report.set_gap_p50_ms(gaps[gaps.size() / 2]);
    report.set_gap_max_ms(gaps.back());
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

auto readAll(const std::vector<std::string> &paths) -> result<event_list>
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
    constexpr int mostPrinted = 20;
    std::cout << "judged: " << report.runs() << " runs, " << report.calls() << " calls, "
              << report.grants() << " grants, " << report.owner_changes() << " owner changes, "
              << report.gaps() << " gaps (p50 " << report.gap_p50_ms() << " ms, max "
              << report.gap_max_ms() << " ms)\n";
    for (int index = 0; index < std::min(mostPrinted, report.breaches_size()); ++index)
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
    checkNoNewWork(events, report);
    checkCalls(events, report);
    checkAtMostOnce(events, report);
    checkGracefulStop(events, report);
    checkConfiguration(events, report);
    return report;
}

auto runAudit(const arguments &rest) -> exit_code
{
    namespace options = boost::program_options;
    std::vector<std::string> paths;
    bool json = false;
    options::options_description known("options");
    known.add_options()("help", "show this text");
    known.add_options()("json", options::bool_switch(&json), "print JSON");
    known.add_options()("journal", options::value(&paths)->required(), "journals to judge");
    options::positional_options_description positional;
    positional.add("journal", -1);
    options::variables_map values;
    const auto ended = parseOptions(rest, known, positional, values);
    if (ended)
        return *ended;
    const auto events = readAll(paths);
    if (!events) {
        std::cerr << events.error().detail << "\n";
        return exit_code::Usage;
    }
    const auto report = auditEvents(*events);
    if (json)
        std::cout << toJson(report) << "\n";
    else
        printReport(report);
    const auto judged = report.runs() > 0 && report.calls() > 0;
    if (!judged)
        std::cerr << "the journals hold no runs or no calls\n";
    return judged && report.breaches_size() == 0 ? exit_code::Success : exit_code::Failed;
}

} // namespace parsleyloft
