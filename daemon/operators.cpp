// Changes that operators make to the configuration.
#include "daemon/operators.h"

#include "codec/assignment_codec.h"
#include "codec/configuration_codec.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

constexpr int maxAttempts = 5;

struct pending_change
{
    configuration_change change;
    std::optional<std::uint64_t> expected;
    store_callback<configuration> done;
    int attempts = 0;
    // What was written when the answer was lost.
    std::optional<configuration> unknown;
};

using shared_change = std::shared_ptr<pending_change>;

auto attemptChange(daemon_process &daemon, const shared_change &pending) -> void;

auto parseConfiguration(const store_value &stored) -> result<configuration>
{
    if (stored.index == 0)
        return configuration{};
    wire::Configuration message;
    if (!message.ParseFromString(stored.value))
        return failure(error_code::InvalidInput, "the stored configuration can't be read");
    return fromWire(message);
}

auto journalChange(daemon_process &daemon, const pending_change &pending,
                   const configuration &stored) -> void
{
    wire::JournalEvent event;
    event.set_kind(wire::JOURNAL_KIND_ACCEPTED_CHANGE);
    event.set_revision(stored.revision);
    recordEvent(daemon.events, event);
    const auto *domain = std::get_if<set_domain>(&pending.change);
    if (domain == nullptr)
        return;
    event.set_kind(domain->outOfService ? wire::JOURNAL_KIND_DOMAIN_OUT
                                        : wire::JOURNAL_KIND_DOMAIN_IN);
    event.set_failure_domain(domain->domain);
    recordEvent(daemon.events, std::move(event));
}

auto acceptChange(daemon_process &daemon, const shared_change &pending, const configuration &stored)
        -> void
{
    journalChange(daemon, *pending, stored);
    adoptConfiguration(daemon, stored);
    logEvent(log_level::Info, "configuration_changed",
             {{"revision", std::to_string(stored.revision)}});
    pending->done(stored);
}

auto finishWrite(daemon_process &daemon, const shared_change &pending, const configuration &next,
                 const result<void> &ended) -> void
{
    if (ended) {
        acceptChange(daemon, pending, next);
        return;
    }
    if (ended.error().code == error_code::Unreachable) {
        pending->done(tl::unexpected(ended.error()));
        return;
    }
    if (ended.error().code == error_code::Unknown)
        pending->unknown = next;
    attemptChange(daemon, pending);
}

auto writeChange(daemon_process &daemon, const shared_change &pending, const store_value &stored)
        -> void
{
    const auto present = parseConfiguration(stored);
    if (!present) {
        pending->done(tl::unexpected(present.error()));
        return;
    }
    // The write whose answer was lost is the one that is stored.
    if (pending->unknown && *present == *pending->unknown) {
        acceptChange(daemon, pending, *present);
        return;
    }
    const auto next = applyChange(*present, pending->change, pending->expected, daemon.services);
    if (!next) {
        pending->done(tl::unexpected(next.error()));
        return;
    }
    storeWrite(daemon, configurationKey(), toWire(*next).SerializeAsString(), stored.index,
               [&daemon, pending, next = *next](const result<void> &ended) {
                   finishWrite(daemon, pending, next, ended);
               });
}

auto attemptChange(daemon_process &daemon, const shared_change &pending) -> void
{
    if (++pending->attempts > maxAttempts) {
        const auto code = pending->unknown ? error_code::Unknown : error_code::Conflict;
        pending->done(failure(code, "the key-value service gave no clear answer"));
        return;
    }
    storeRead(daemon, configurationKey(), [&daemon, pending](const result<store_value> &ended) {
        if (ended)
            writeChange(daemon, pending, *ended);
        else if (pending->unknown)
            postAfter(*daemon.workers, daemon.store.timeout,
                      [&daemon, pending] { attemptChange(daemon, pending); });
        else
            pending->done(failure(error_code::Unreachable,
                                  "the key-value service: " + ended.error().detail));
    });
}

} // namespace

auto changeConfiguration(daemon_process &daemon, const configuration_change &change,
                         std::optional<std::uint64_t> expected, store_callback<configuration> done)
        -> void
{
    auto pending = std::make_shared<pending_change>();
    pending->change = change;
    pending->expected = expected;
    pending->done = std::move(done);
    attemptChange(daemon, pending);
}

} // namespace parsleyloft
