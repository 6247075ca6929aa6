// Conversions between the decisions' structs and the messages between hosts.
#include "codec/assignment_codec.h"

namespace parsleyloft {

namespace {

auto toWirePhase(assignment_phase phase) -> wire::AssignmentPhase
{
    return static_cast<wire::AssignmentPhase>(phase);
}

auto fromWirePhase(int phase) -> assignment_phase
{
    const auto known = wire::AssignmentPhase_IsValid(phase);
    return known ? static_cast<assignment_phase>(phase) : assignment_phase::Vacant;
}

auto toWire(const server_info &server) -> wire::ServerInfo
{
    wire::ServerInfo message;
    message.set_server_id(server.id);
    message.set_service(server.service);
    message.set_failure_domain(server.domain);
    message.set_address(server.address);
    message.set_slots(server.slots);
    message.set_leaving(server.leaving);
    return message;
}

auto fromWire(const wire::ServerInfo &message) -> server_info
{
    return {message.server_id(), message.service(), message.failure_domain(),
            message.address(),   message.slots(),   message.leaving()};
}

auto toWire(const service_name &service, const std::vector<shard_assignment> &shards)
        -> wire::ShardAssignments
{
    wire::ShardAssignments message;
    message.set_service(service);
    std::map<server_id, std::uint32_t> indexes;
    for (const auto &shard : shards) {
        const auto next = static_cast<std::uint32_t>(indexes.size());
        const auto [entry, added] = indexes.try_emplace(shard.owner, next);
        if (added)
            message.add_server_ids(shard.owner);
        message.add_owners(entry->second);
        *message.add_epochs() = parsleyloft::toWire(shard.grantEpoch);
        message.add_phases(toWirePhase(shard.phase));
    }
    return message;
}

auto fromWire(const wire::ShardAssignments &message) -> std::vector<shard_assignment>
{
    const auto count =
            std::min({message.owners_size(), message.epochs_size(), message.phases_size()});
    std::vector<shard_assignment> shards(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        auto &shard = shards[static_cast<std::size_t>(index)];
        const auto owner = static_cast<int>(message.owners(index));
        if (owner < message.server_ids_size())
            shard.owner = message.server_ids(owner);
        shard.grantEpoch = parsleyloft::fromWire(message.epochs(index));
        shard.phase = fromWirePhase(message.phases(index));
    }
    return shards;
}

auto fromWireRelease(const wire::ShardRelease &message) -> shard_epoch
{
    return {{message.service(), message.shard()}, parsleyloft::fromWire(message.epoch())};
}

auto fromWireRelease(const wire::GroupRelease &message) -> group_epoch
{
    return {{message.service(), message.failure_domain()}, parsleyloft::fromWire(message.epoch())};
}

auto toWireRelease(const shard_epoch &release) -> wire::ShardRelease
{
    wire::ShardRelease message;
    message.set_service(release.shard.service);
    message.set_shard(release.shard.index);
    *message.mutable_epoch() = parsleyloft::toWire(release.grantEpoch);
    return message;
}

auto toWireRelease(const group_epoch &release) -> wire::GroupRelease
{
    wire::GroupRelease message;
    message.set_service(release.group.service);
    message.set_failure_domain(release.group.domain);
    *message.mutable_epoch() = parsleyloft::toWire(release.grantEpoch);
    return message;
}

} // namespace

auto toWire(const term &value) -> wire::Term
{
    wire::Term message;
    message.set_generation(value.generation);
    message.set_ballot(value.ballot);
    return message;
}

auto fromWire(const wire::Term &message) -> term
{
    return {message.generation(), message.ballot()};
}

auto toWire(const epoch &value) -> wire::Epoch
{
    wire::Epoch message;
    *message.mutable_term() = toWire(value.leaderTerm);
    message.set_sequence(value.sequence);
    return message;
}

auto fromWire(const wire::Epoch &message) -> epoch
{
    return {fromWire(message.term()), message.sequence()};
}

auto toWire(const member_record &record) -> wire::MemberRecord
{
    wire::MemberRecord message;
    message.set_version(record.version);
    *message.mutable_term() = toWire(record.leaderTerm);
    message.set_leader(record.leader);
    for (const auto &one : record.members) {
        auto *added = message.add_members();
        added->set_host_id(one.host);
        added->set_start_number(one.start);
        added->set_failure_domain(one.domain);
    }
    return message;
}

auto fromWire(const wire::MemberRecord &message) -> member_record
{
    member_record record;
    record.version = message.version();
    record.leaderTerm = fromWire(message.term());
    record.leader = message.leader();
    for (const auto &one : message.members())
        record.members.push_back({one.host_id(), one.start_number(), one.failure_domain()});
    return record;
}

auto toWire(const host_info &host) -> wire::HostInfo
{
    wire::HostInfo message;
    message.set_host_id(host.id);
    message.set_failure_domain(host.domain);
    message.set_caller_address(host.callerAddress);
    message.set_peer_address(host.peerAddress);
    return message;
}

auto fromWire(const wire::HostInfo &message) -> host_info
{
    return {message.host_id(), message.failure_domain(), message.caller_address(),
            message.peer_address()};
}

auto toWire(const assignment_table &table) -> wire::AssignmentTable
{
    wire::AssignmentTable message;
    *message.mutable_term() = toWire(table.leaderTerm);
    message.set_version(table.version);
    for (const auto &[id, group] : table.groups) {
        auto *added = message.add_groups();
        added->set_service(id.service);
        added->set_failure_domain(id.domain);
        added->set_holder(group.holder);
        *added->mutable_epoch() = toWire(group.grantEpoch);
        added->set_phase(toWirePhase(group.phase));
    }
    for (const auto &[service, shards] : table.shards)
        *message.add_shards() = toWire(service, shards);
    for (const auto &[id, server] : table.servers)
        *message.add_servers() = toWire(server);
    for (const auto &[id, host] : table.hosts)
        *message.add_hosts() = toWire(host);
    return message;
}

auto fromWire(const wire::AssignmentTable &message) -> assignment_table
{
    assignment_table table;
    table.leaderTerm = fromWire(message.term());
    table.version = message.version();
    for (const auto &group : message.groups()) {
        const group_id id{group.service(), group.failure_domain()};
        table.groups[id] = {group.holder(), fromWire(group.epoch()), fromWirePhase(group.phase())};
    }
    for (const auto &shards : message.shards())
        table.shards[shards.service()] = fromWire(shards);
    for (const auto &server : message.servers())
        table.servers[server.server_id()] = fromWire(server);
    for (const auto &host : message.hosts())
        table.hosts[host.host_id()] = fromWire(host);
    return table;
}

auto toWire(const consent_request &request) -> wire::ConsentRequest
{
    wire::ConsentRequest message;
    message.set_candidate(request.candidate);
    *message.mutable_term() = toWire(request.requestedTerm);
    *message.mutable_record() = toWire(request.record);
    return message;
}

auto fromWire(const wire::ConsentRequest &message) -> consent_request
{
    return {message.candidate(), fromWire(message.term()), fromWire(message.record())};
}

auto toWire(const consent_reply &reply) -> wire::ConsentReply
{
    wire::ConsentReply message;
    message.set_host_id(reply.from);
    message.set_start_number(reply.start);
    message.set_granted(reply.granted);
    *message.mutable_highest() = toWire(reply.highestTerm);
    *message.mutable_record() = toWire(reply.record);
    return message;
}

auto fromWire(const wire::ConsentReply &message) -> consent_reply
{
    return {message.host_id(), message.start_number(), message.granted(),
            fromWire(message.highest()), fromWire(message.record())};
}

auto toWire(const exchange_request &request) -> wire::ExchangeRequest
{
    wire::ExchangeRequest message;
    *message.mutable_sender() = toWire(request.report.host);
    message.set_start_number(request.report.start);
    message.set_draining(request.report.draining);
    *message.mutable_term() = toWire(request.highestTerm);
    message.set_record_version(request.recordVersion);
    *message.mutable_table_term() = toWire(request.tableTerm);
    message.set_table_version(request.tableVersion);
    if (request.returnedStamp) {
        message.set_returned_stamp_us(toMicroseconds(request.returnedStamp->stamp));
        message.set_returned_leader(request.returnedStamp->leader);
        *message.mutable_returned_term() = toWire(request.returnedStamp->leaderTerm);
    }
    if (request.table)
        *message.mutable_table() = toWire(*request.table);
    for (const auto &release : request.report.releasedShards)
        *message.add_released_shards() = toWireRelease(release);
    for (const auto &release : request.report.releasedGroups)
        *message.add_released_groups() = toWireRelease(release);
    for (const auto &[server, reachable] : request.report.serverReachable) {
        auto *added = message.add_servers();
        added->set_server_id(server);
        added->set_reachable(reachable);
    }
    return message;
}

auto fromWire(const wire::ExchangeRequest &message) -> exchange_request
{
    exchange_request request;
    request.report.host = fromWire(message.sender());
    request.report.start = message.start_number();
    request.report.draining = message.draining();
    for (const auto &release : message.released_groups())
        request.report.releasedGroups.push_back(fromWireRelease(release));
    for (const auto &release : message.released_shards())
        request.report.releasedShards.push_back(fromWireRelease(release));
    for (const auto &server : message.servers())
        request.report.serverReachable[server.server_id()] = server.reachable();
    request.highestTerm = fromWire(message.term());
    request.recordVersion = message.record_version();
    request.tableTerm = fromWire(message.table_term());
    request.tableVersion = message.table_version();
    if (!message.returned_leader().empty())
        request.returnedStamp =
                returned_stamp{message.returned_leader(), fromWire(message.returned_term()),
                               fromMicroseconds(message.returned_stamp_us())};
    if (message.has_table())
        request.table = fromWire(message.table());
    return request;
}

auto toWire(const exchange_reply &reply) -> wire::ExchangeReply
{
    wire::ExchangeReply message;
    message.set_host_id(reply.from);
    *message.mutable_term() = toWire(reply.highestTerm);
    message.set_leader(reply.leader);
    message.set_leading(reply.leading);
    message.set_stamp_us(toMicroseconds(reply.stamp));
    message.set_confirmation_age_us(reply.confirmationAge.count());
    message.set_lease_given(reply.leaseGranted);
    message.set_table_wanted(reply.tableWanted);
    if (reply.table)
        *message.mutable_table() = toWire(*reply.table);
    if (reply.record)
        *message.mutable_record() = toWire(*reply.record);
    return message;
}

auto fromWire(const wire::ExchangeReply &message) -> exchange_reply
{
    exchange_reply reply;
    reply.from = message.host_id();
    reply.highestTerm = fromWire(message.term());
    reply.leader = message.leader();
    reply.leading = message.leading();
    reply.stamp = fromMicroseconds(message.stamp_us());
    reply.confirmationAge = duration(message.confirmation_age_us());
    reply.leaseGranted = message.lease_given();
    reply.tableWanted = message.table_wanted();
    if (message.has_table())
        reply.table = fromWire(message.table());
    if (message.has_record())
        reply.record = fromWire(message.record());
    return reply;
}

} // namespace parsleyloft
