// Configuration changes by operators.
#include "daemon/operators.h"

#include "codec/assignment_codec.h"
#include "codec/configuration_codec.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

// Attempts to write a change while concurrent writes or lost replies prevent it.
constexpr int maxAttempts = 5;

struct pending_change
{
    configuration_change change;
    std::optional<std::uint64_t> expected;
    store_callback<configuration> done;
    int attempts = 0;
    // The configuration whose write got no reply: it may have been stored.
    std::optional<configuration> unconfirmed;
};

using shared_change = std::shared_ptr<pending_change>;

auto attemptChange(daemon_process &daemon, const shared_change &pending) -> void;

auto parseConfiguration(const store_value &stored) -> result<configuration>
{
    if (stored.index == 0)
        return configuration{};
    wire::Configuration message;
    if (!message.ParseFromString(stored.value))
        return failure(error_code::InvalidInput, "the stored configuration can't be parsed");
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

// Ends a change that could not be made. If an earlier write of it may have been stored, the result
// is unknown.
auto finishFailed(const shared_change &pending, error failed) -> void
{
    if (pending->unconfirmed)
        failed.code = error_code::Unknown;
    pending->done(tl::unexpected(std::move(failed)));
}

auto finishWrite(daemon_process &daemon, const shared_change &pending, const configuration &next,
                 const result<void> &reply) -> void
{
    if (reply) {
        acceptChange(daemon, pending, next);
        return;
    }
    if (reply.error().code == error_code::Unreachable) {
        finishFailed(pending, reply.error());
        return;
    }
    if (reply.error().code == error_code::Unknown)
        pending->unconfirmed = next;
    attemptChange(daemon, pending);
}

auto writeChange(daemon_process &daemon, const shared_change &pending, const store_value &stored)
        -> void
{
    const auto current = parseConfiguration(stored);
    if (!current) {
        finishFailed(pending, current.error());
        return;
    }
    // The write whose reply was lost has taken effect.
    if (pending->unconfirmed && *current == *pending->unconfirmed) {
        acceptChange(daemon, pending, *current);
        return;
    }
    const auto next = applyChange(*current, pending->change, pending->expected, daemon.services);
    if (!next) {
        finishFailed(pending, next.error());
        return;
    }
    storeWrite(daemon, configurationKey(), toWire(*next).SerializeAsString(), stored.index,
               [&daemon, pending, next = *next](const result<void> &reply) {
                   finishWrite(daemon, pending, next, reply);
               });
}

auto attemptChange(daemon_process &daemon, const shared_change &pending) -> void
{
    if (++pending->attempts > maxAttempts) {
        const auto code = pending->unconfirmed ? error_code::Unknown : error_code::Conflict;
        pending->done(failure(code,
                              "no definite result from the key-value service in "
                                      + std::to_string(maxAttempts) + " attempts"));
        return;
    }
    storeRead(daemon, configurationKey(), [&daemon, pending](const result<store_value> &reply) {
        if (reply)
            writeChange(daemon, pending, *reply);
        else if (pending->unconfirmed)
            postAfter(*daemon.workers, daemon.store.timeout,
                      [&daemon, pending] { attemptChange(daemon, pending); });
        else
            pending->done(
                    failure(error_code::Unreachable, "key-value service: " + reply.error().detail));
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
