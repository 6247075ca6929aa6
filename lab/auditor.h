// Checks the journals of backend servers, callers and hosts against the system's invariants.
#pragma once

#include "command/subcommand.h"
#include "core/names.h"
#include "generated/journal.pb.h"
#include "generated/report.pb.h"

namespace parsleyloft {

enum class invariant {
    OneOwner,
    AssignmentsSurvive,
    ColdStart,
    DomainOut,
    OwnAnswer,
    NotRunIsTrue,
    AtMostOnce,
    LeavingServer,
    GracefulStop,
    ConfigurationHolds,
};

inline constexpr name_table<invariant, 10> invariantNames{{
        {invariant::OneOwner, "one_owner"},
        {invariant::AssignmentsSurvive, "assignments_survive"},
        {invariant::ColdStart, "cold_start"},
        {invariant::DomainOut, "domain_out"},
        {invariant::OwnAnswer, "own_answer"},
        {invariant::NotRunIsTrue, "not_run_is_true"},
        {invariant::AtMostOnce, "at_most_once"},
        {invariant::LeavingServer, "leaving_server"},
        {invariant::GracefulStop, "graceful_stop"},
        {invariant::ConfigurationHolds, "configuration_holds"},
}};

using event_list = std::vector<wire::JournalEvent>;

// Checks the merged events of all journals, ordered by time. Reports every breach found.
auto auditEvents(const event_list &events) -> wire::AuditReport;

auto runAudit(const arguments &args) -> exit_code;

} // namespace parsleyloft
