// Conversions between the structs of decisions and the messages that hosts exchange.
#pragma once

#include "decisions/exchange.h"
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

// The message's configuration fields are not set: the sender adds them.
auto toWire(const exchange_request &request) -> wire::ExchangeRequest;
auto fromWire(const wire::ExchangeRequest &message) -> exchange_request;

auto toWire(const exchange_reply &reply) -> wire::ExchangeReply;
auto fromWire(const wire::ExchangeReply &message) -> exchange_reply;

} // namespace parsleyloft
