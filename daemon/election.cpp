// Standing as candidate, and consent to other candidates.
#include "daemon/election.h"

#include "codec/assignment_codec.h"
#include "decisions/candidacy.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

constexpr duration consentTimeout = 300ms;

auto parseRecord(const std::string &value) -> member_record
{
    wire::MemberRecord message;
    // A value that is no record reads as the empty record: version 0.
    if (!message.ParseFromString(value))
        message.Clear();
    return fromWire(message);
}

auto reportElected(daemon_process &daemon, const leadership_state &state) -> void
{
    setLeading(daemon.counters, true);
    logEvent(log_level::Info, "leader_elected",
             {{"term", toString(state.highestTerm)},
              {"members", std::to_string(state.record.members.size())}});
}

auto handleConsent(daemon_process &daemon, const wire::ConsentReply &reply) -> void
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &state = daemon.leadership.region.leadership;
    if (handleConsentReply(state, fromWire(reply), monotonicNow()))
        reportElected(daemon, state);
}

auto requestConsents(daemon_process &daemon, const consent_request &request) -> void
{
    for (const auto &one : request.record.members) {
        const auto address = addressOfPeer(daemon, one.host);
        if (one.host == daemon.self.id || address.empty() || isCutFrom(daemon, one.host))
            continue;
        callConsent(daemon.peerClient, address, toWire(request), consentTimeout,
                    [&daemon, host = one.host](result<wire::ConsentReply> ended) {
                        if (ended && !isCutFrom(daemon, host))
                            handleConsent(daemon, *ended);
                    });
    }
}

auto ownConsent(const leadership_state &state) -> consent_reply
{
    return {state.self, state.start, true, state.highestTerm, state.record};
}

auto startCandidacy(daemon_process &daemon, std::optional<std::uint32_t> generation) -> void
{
    std::optional<consent_request> request;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        auto &state = daemon.leadership.region.leadership;
        const auto now = monotonicNow();
        request = becomeCandidate(state, now, generation);
        if (!request)
            return;
        logEvent(log_level::Info, "candidacy_started",
                 {{"term", toString(request->requestedTerm)}});
        if (handleConsentReply(state, ownConsent(state), now))
            reportElected(daemon, state);
    }
    requestConsents(daemon, *request);
}

auto copyLastContacts(daemon_process &daemon) -> std::map<host_id, instant>
{
    const std::lock_guard guard(daemon.peerTable.lock);
    return daemon.peerTable.lastContact;
}

auto recoverRecord(daemon_process &daemon, const store_value &stored) -> void
{
    const auto wanted = currentConfiguration(daemon);
    const auto heard = copyLastContacts(daemon);
    member_record next;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        auto &state = daemon.leadership.region.leadership;
        if (stored.index != 0)
            adoptNewerRecord(state, parseRecord(stored.value));
        state.recordRead = true;
        auto &region = daemon.leadership.region;
        if (stored.index != 0 && !mayReplaceRecord(region, heard, stored.index, monotonicNow()))
            return;
        auto out = wanted.evacuatedHosts;
        out.insert(wanted.evacuatedDomains.begin(), wanted.evacuatedDomains.end());
        next = makeRecoveryRecord(state, out);
    }
    storeWrite(daemon, recordKey(daemon), toWire(next).SerializeAsString(), stored.index,
               [&daemon, next](const result<void> &ended) {
                   // An unknown end is left to the next reading of the record.
                   if (!ended)
                       return;
                   {
                       const std::lock_guard guard(daemon.leadership.lock);
                       adoptNewerRecord(daemon.leadership.region.leadership, next);
                   }
                   startCandidacy(daemon, next.leaderTerm.generation);
               });
}

auto recoverFromStore(daemon_process &daemon) -> void
{
    storeRead(daemon, recordKey(daemon), [&daemon](const result<store_value> &ended) {
        if (ended)
            recoverRecord(daemon, *ended);
    });
}

} // namespace

auto startCandidacyIfDue(daemon_process &daemon) -> void
{
    if (daemon.draining)
        return;
    auto method = candidacy::None;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        auto &table = daemon.leadership;
        const auto now = monotonicNow();
        method = chooseCandidacy(table.region, table.nextRecovery, now);
        if (method == candidacy::ByStore)
            table.nextRecovery = now + recoveryDelay(table.region);
    }
    if (method == candidacy::ByStore)
        recoverFromStore(daemon);
    if (method == candidacy::ByBallot)
        startCandidacy(daemon, std::nullopt);
}

auto handleConsentRequest(daemon_process &daemon, const wire::ConsentRequest &request)
        -> wire::ConsentReply
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    const auto wasLeader = table.region.leadership.role == leadership_role::Leader;
    const auto reply = decideConsent(table.region.leadership, fromWire(request), monotonicNow());
    if (reply.granted) {
        table.region.leaderHint = request.candidate();
        table.region.stampToReturn.reset();
        if (wasLeader)
            setLeading(daemon.counters, false);
    }
    return toWire(reply);
}

auto readMemberRecord(daemon_process &daemon) -> void
{
    storeRead(daemon, recordKey(daemon), [&daemon](result<store_value> ended) {
        if (!ended)
            return;
        const std::lock_guard guard(daemon.leadership.lock);
        auto &state = daemon.leadership.region.leadership;
        state.recordRead = true;
        if (ended->index == 0)
            return;
        adoptNewerRecord(state, parseRecord(ended->value));
        if (daemon.leadership.region.leaderHint.empty())
            daemon.leadership.region.leaderHint = state.record.leader;
    });
}

} // namespace parsleyloft
