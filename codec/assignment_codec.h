// Conversions between the decisions' structs and the messages between hosts.
#pragma once

#include "decisions/leadership.h"
#include "decisions/planner.h"
#include "generated/assignment.pb.h"
#include "generated/peer.pb.h"

namespace parsleyloft {

auto toWire(const term &value) -> wire::Term;
auto fromWire(const wire::Term &message) -> term;

auto toWire(const epoch &value) -> wire::Epoch;
auto fromWire(const wire::Epoch &message) -> epoch;

auto toWire(const member_record &record) -> wire::MemberRecord;
auto fromWire(const wire::MemberRecord &message) -> member_record;

auto toWire(const host_info &host) -> wire::HostInfo;
auto fromWire(const wire::HostInfo &message) -> host_info;

auto toWire(const assignment_table &table) -> wire::AssignmentTable;
auto fromWire(const wire::AssignmentTable &message) -> assignment_table;

auto toWire(const consent_request &request) -> wire::ConsentRequest;
auto fromWire(const wire::ConsentRequest &message) -> consent_request;

auto toWire(const consent_reply &reply) -> wire::ConsentReply;
auto fromWire(const wire::ConsentReply &message) -> consent_reply;

auto toWire(const shard_release &release) -> wire::ShardRelease;
auto toWire(const group_release &release) -> wire::GroupRelease;

// The report within an exchange.
auto reportFromWire(const wire::ExchangeRequest &message) -> host_report;

} // namespace parsleyloft
