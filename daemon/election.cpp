// Standing as candidate, and consent to other candidates.
#include "daemon/election.h"

#include "codec/assignment_codec.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

constexpr duration consentTimeout = 300ms;

// A host that is no member, or whose members don't answer, tries the key-value service
// after so long without a leader.
constexpr duration recoveryTimeout = 3s;
constexpr duration recoveryPause = 1500ms;

auto parseRecord(const std::string &value) -> member_record
{
    wire::MemberRecord message;
    // A value that is no record reads as the empty record: version 0.
    if (!message.ParseFromString(value))
        message.Clear();
    return fromWire(message);
}

auto noteElected(daemon_process &daemon, const leadership_state &state) -> void
{
    setLeading(daemon.counters, true);
    logEvent(log_level::Info, "leader_elected",
             {{"term", toString(state.highest)},
              {"members", std::to_string(state.record.members.size())}});
}

auto takeConsent(daemon_process &daemon, const wire::ConsentReply &reply) -> void
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &state = daemon.leadership.state;
    if (countConsent(state, fromWire(reply), monotonicNow()))
        noteElected(daemon, state);
}

auto askMembers(daemon_process &daemon, const consent_request &request) -> void
{
    for (const auto &one : request.record.members) {
        const auto address = addressOfPeer(daemon, one.host);
        if (one.host == daemon.self.id || address.empty() || isCutFrom(daemon, one.host))
            continue;
        callConsent(daemon.peers, address, toWire(request), consentTimeout,
                    [&daemon, host = one.host](result<wire::ConsentReply> ended) {
                        if (ended && !isCutFrom(daemon, host))
                            takeConsent(daemon, *ended);
                    });
    }
}

auto ownConsent(const leadership_state &state) -> consent_reply
{
    return {state.self, state.start, true, state.highest, state.record};
}

auto stand(daemon_process &daemon, std::optional<std::uint32_t> generation) -> void
{
    std::optional<consent_request> request;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        auto &state = daemon.leadership.state;
        const auto now = monotonicNow();
        request = standAsCandidate(state, now, generation);
        if (!request)
            return;
        logEvent(log_level::Info, "candidacy", {{"term", toString(request->asked)}});
        if (countConsent(state, ownConsent(state), now))
            noteElected(daemon, state);
    }
    askMembers(daemon, *request);
}

// A record that is there is replaced only when no leader was heard of for long, and a
// majority of the member hosts answers, so that the attempt can succeed.
auto maySupplant(daemon_process &daemon, const leadership_state &state) -> bool
{
    const auto now = monotonicNow();
    if (now < daemon.leadership.lastLeaderWord + recoveryTimeout)
        return false;
    std::size_t answering = 0;
    const std::lock_guard guard(daemon.hosts.lock);
    for (const auto &one : state.record.members) {
        const auto found = daemon.hosts.heard.find(one.host);
        const auto recent =
            found != daemon.hosts.heard.end() && now < found->second + recoveryTimeout;
        if (one.host == state.self || recent)
            ++answering;
    }
    return answering > state.record.members.size() / 2;
}

auto recoverFrom(daemon_process &daemon, const store_value &stored) -> void
{
    const auto wanted = currentConfiguration(daemon);
    member_record next;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        auto &state = daemon.leadership.state;
        if (stored.index != 0)
            learnRecord(state, parseRecord(stored.value));
        state.recordRead = true;
        if (stored.index != 0 && !maySupplant(daemon, state))
            return;
        auto out = wanted.hostsOut;
        out.insert(wanted.domainsOut.begin(), wanted.domainsOut.end());
        next = recoveryRecord(state, out);
    }
    storeWrite(daemon, recordKey(daemon), toWire(next).SerializeAsString(), stored.index,
               [&daemon, next](result<void> ended) {
                   // An unknown end is left to the next reading of the record.
                   if (!ended)
                       return;
                   {
                       const std::lock_guard guard(daemon.leadership.lock);
                       learnRecord(daemon.leadership.state, next);
                   }
                   stand(daemon, next.givenIn.generation);
               });
}

auto recoverByStore(daemon_process &daemon) -> void
{
    storeRead(daemon, recordKey(daemon), [&daemon](result<store_value> ended) {
        if (ended)
            recoverFrom(daemon, *ended);
    });
}

} // namespace

auto electIfDue(daemon_process &daemon) -> void
{
    auto byStore = false;
    {
        const std::lock_guard guard(daemon.leadership.lock);
        auto &table = daemon.leadership;
        const auto now = monotonicNow();
        if (daemon.draining || !electionDue(table.state, now))
            return;
        const auto member = isMember(table.state.record, table.state.self, table.state.start);
        const auto silent = now >= table.lastLeaderWord + recoveryTimeout;
        const auto fresh = table.state.record.version == 0;
        byStore = !member || (silent && now >= table.nextRecovery);
        if (byStore && !(fresh || silent))
            return;
        if (byStore && now < table.nextRecovery)
            return;
        if (byStore)
            table.nextRecovery = now + recoveryPause;
    }
    if (byStore)
        recoverByStore(daemon);
    else
        stand(daemon, std::nullopt);
}

auto answerConsentRequest(daemon_process &daemon, const wire::ConsentRequest &request)
    -> wire::ConsentReply
{
    const std::lock_guard guard(daemon.leadership.lock);
    auto &table = daemon.leadership;
    const auto wasLeader = table.state.role == leadership_role::Leader;
    const auto reply = answerConsent(table.state, fromWire(request), monotonicNow());
    if (reply.granted) {
        table.leaderHint = request.candidate();
        table.echoedStampUs = 0;
        if (wasLeader)
            setLeading(daemon.counters, false);
    }
    return toWire(reply);
}

auto readRecord(daemon_process &daemon) -> void
{
    storeRead(daemon, recordKey(daemon), [&daemon](result<store_value> ended) {
        if (!ended)
            return;
        const std::lock_guard guard(daemon.leadership.lock);
        auto &state = daemon.leadership.state;
        state.recordRead = true;
        if (ended->index == 0)
            return;
        learnRecord(state, parseRecord(ended->value));
        if (daemon.leadership.leaderHint.empty())
            daemon.leadership.leaderHint = state.record.leader;
    });
}

} // namespace parsleyloft
