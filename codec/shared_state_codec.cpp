// Encoding of the values that the hosts keep in the platform's store under their own prefix.
#include "codec/shared_state_codec.h"

#include "generated/shared_state.pb.h"

#include <map>
#include <tuple>

namespace parsleyloft {

namespace {

// By id, start and address: orders go to the address in the table.
using owner_indexes = std::map<std::tuple<server_id, std::int64_t, endpoint>, std::uint32_t>;

// The index of an owner in the message's list of owners, counted from 1, or 0 for no owner. Adds
// the owner to the list when it is new.
template<typename message>
auto indexOf(message &record, owner_indexes &indexes, const key_owner &owner) -> std::uint32_t
{
    if (owner.id.empty())
        return 0;
    auto &index = indexes[{owner.id, owner.startTimeMs, owner.address}];
    if (index != 0)
        return index;
    auto *added = record.add_owners();
    added->set_server_id(owner.id);
    added->set_born_ms(owner.startTimeMs);
    added->set_address(formatEndpoint(owner.address));
    index = static_cast<std::uint32_t>(record.owners_size());
    return index;
}

template<typename message>
auto encodeSlice(message &record, owner_indexes &indexes, const key_slice &slice,
                 wire::SliceRecord &target) -> void
{
    target.set_to(slice.to);
    target.set_phase(static_cast<std::uint32_t>(slice.phase));
    target.set_fence(slice.fence);
    target.set_owner(indexOf(record, indexes, slice.owner));
    target.set_previous(indexOf(record, indexes, slice.previous));
}

template<typename message>
auto ownerAt(const message &record, std::uint32_t index) -> result<key_owner>
{
    if (index == 0)
        return key_owner{};
    if (index > static_cast<std::uint32_t>(record.owners_size()))
        return failure(error_code::InvalidInput,
                       "a slice refers to owner " + std::to_string(index)
                               + ", which is not listed");
    const auto &owner = record.owners(static_cast<int>(index - 1));
    const auto address = parseEndpoint(owner.address());
    if (!address)
        return tl::unexpected(address.error());
    return key_owner{owner.server_id(), owner.born_ms(), *address};
}

template<typename record_message>
auto decodeSlice(const record_message &record, const wire::SliceRecord &message, key_number from)
        -> result<key_slice>
{
    const auto owner = ownerAt(record, message.owner());
    const auto previous = ownerAt(record, message.previous());
    if (!owner)
        return tl::unexpected(owner.error());
    if (!previous)
        return tl::unexpected(previous.error());
    const auto phase = static_cast<slice_phase>(message.phase());
    if (nameIn(slicePhaseNames, phase) == "invalid" || message.to() < from
        || message.to() > lastKey)
        return failure(error_code::InvalidInput, "a slice has an invalid phase or key range");
    return key_slice{from, message.to(), phase, *owner, message.fence(), *previous};
}

auto decodeLostDecisions(std::uint32_t number) -> result<lost_decisions>
{
    const auto lost = static_cast<lost_decisions>(number);
    if (nameIn(lostDecisionsNames, lost) == "invalid")
        return failure(error_code::InvalidInput, "the table states unknown lost decisions");
    return lost;
}

} // namespace

auto encodeOwnership(const ownership_table &table) -> std::string
{
    wire::OwnershipRecord record;
    record.set_service(table.service);
    record.set_next_fence(table.nextFence);
    record.set_led_since(table.leaderRevision.revision);
    record.set_led_since_era(table.leaderRevision.era);
    record.set_sequence(table.sequence);
    record.set_lost_decisions(static_cast<std::uint32_t>(table.lost));
    owner_indexes indexes;
    for (const auto &slice : table.slices)
        encodeSlice(record, indexes, slice, *record.add_slices());
    return record.SerializeAsString();
}

auto toWire(const ownership_change &change) -> wire::OwnershipChange
{
    wire::OwnershipChange message;
    message.set_service(change.service);
    message.set_led_since(change.leaderRevision.revision);
    message.set_led_since_era(change.leaderRevision.era);
    message.set_base(change.base);
    message.set_sequence(change.sequence);
    message.set_next_fence(change.nextFence);
    message.set_lost_decisions(static_cast<std::uint32_t>(change.lost));
    owner_indexes indexes;
    for (const auto &slice : change.slices) {
        auto *added = message.add_slices();
        added->set_from(slice.from);
        encodeSlice(message, indexes, slice, *added->mutable_slice());
    }
    return message;
}

auto fromWire(const wire::OwnershipChange &message) -> result<ownership_change>
{
    const auto lost = decodeLostDecisions(message.lost_decisions());
    if (!lost)
        return tl::unexpected(lost.error());
    ownership_change change{message.service(),
                            {message.led_since_era(), message.led_since()},
                            message.base(),
                            message.sequence(),
                            message.next_fence(),
                            *lost,
                            {}};
    for (const auto &changed : message.slices()) {
        const auto slice = decodeSlice(message, changed.slice(), changed.from());
        if (!slice)
            return tl::unexpected(slice.error());
        change.slices.push_back(*slice);
    }
    return change;
}

auto decodeOwnership(const std::string &value) -> result<ownership_table>
{
    wire::OwnershipRecord record;
    if (!record.ParseFromString(value))
        return failure(error_code::InvalidInput, "the value is not an ownership record");
    ownership_table table;
    table.service = record.service();
    table.nextFence = record.next_fence();
    table.leaderRevision = {record.led_since_era(), record.led_since()};
    table.sequence = record.sequence();
    const auto lost = decodeLostDecisions(record.lost_decisions());
    if (!lost)
        return tl::unexpected(lost.error());
    table.lost = *lost;
    key_number from = 0;
    for (const auto &message : record.slices()) {
        const auto slice = decodeSlice(record, message, from);
        if (!slice)
            return tl::unexpected(slice.error());
        table.slices.push_back(*slice);
        from = slice->to + 1;
    }
    if (!table.slices.empty() && from != lastKey + 1)
        return failure(error_code::InvalidInput, "the slices don't cover all keys");
    return table;
}

auto encodeLeader(const leader_claim &claim) -> std::string
{
    wire::LeaderRecord record;
    record.set_host_id(claim.host);
    record.set_lease(claim.lease);
    record.set_era(claim.era);
    return record.SerializeAsString();
}

auto decodeLeader(const std::string &value) -> result<leader_claim>
{
    wire::LeaderRecord record;
    if (!record.ParseFromString(value) || record.host_id().empty())
        return failure(error_code::InvalidInput, "the value is not a leader record");
    return leader_claim{record.host_id(), record.lease(), record.era(), {}};
}

auto encodeMember(const member_host &host) -> std::string
{
    wire::HostRecord record;
    record.set_failure_domain(host.domain);
    record.set_peer_address(host.peerAddress);
    record.set_processor_share(host.processorShare);
    return record.SerializeAsString();
}

auto decodeMember(const host_id &id, const std::string &value) -> result<member_host>
{
    wire::HostRecord record;
    if (!record.ParseFromString(value) || record.peer_address().empty()
        || record.processor_share() <= 0)
        return failure(error_code::InvalidInput, "the value is not a host record");
    return member_host{id, record.failure_domain(), record.peer_address(),
                       record.processor_share()};
}

} // namespace parsleyloft
