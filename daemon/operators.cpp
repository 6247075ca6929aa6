// Changes that operators make to the configuration.
#include "daemon/operators.h"

#include "codec/assignment_codec.h"
#include "codec/configuration_codec.h"
#include "telemetry/event_log.h"

namespace parsleyloft {

namespace {

constexpr int maxTries = 5;

struct change_errand
{
    configuration_change change;
    std::optional<std::uint64_t> expected;
    store_callback<configuration> done;
    int tries = 0;
    // What was written when the answer was lost.
    std::optional<configuration> unknown;
};

using shared_change = std::shared_ptr<change_errand>;

auto tryChange(daemon_process &daemon, const shared_change &errand) -> void;

auto parseConfiguration(const store_value &stored) -> result<configuration>
{
    if (stored.index == 0)
        return configuration{};
    wire::Configuration message;
    if (!message.ParseFromString(stored.value))
        return failure(error_code::InvalidInput, "the stored configuration can't be read");
    return fromWire(message);
}

auto journalChange(daemon_process &daemon, const change_errand &errand, const configuration &stored)
        -> void
{
    wire::JournalEvent event;
    event.set_kind(wire::JOURNAL_KIND_ACCEPTED_CHANGE);
    event.set_revision(stored.revision);
    recordEvent(daemon.events, event);
    const auto *domain = std::get_if<set_domain>(&errand.change);
    if (domain == nullptr)
        return;
    event.set_kind(domain->out ? wire::JOURNAL_KIND_DOMAIN_OUT : wire::JOURNAL_KIND_DOMAIN_IN);
    event.set_failure_domain(domain->domain);
    recordEvent(daemon.events, std::move(event));
}

auto accept(daemon_process &daemon, const shared_change &errand, const configuration &stored)
        -> void
{
    journalChange(daemon, *errand, stored);
    adoptConfiguration(daemon, stored);
    logEvent(log_level::Info, "change_accepted", {{"revision", std::to_string(stored.revision)}});
    errand->done(stored);
}

auto finishWrite(daemon_process &daemon, const shared_change &errand, const configuration &next,
                 const result<void> &ended) -> void
{
    if (ended) {
        accept(daemon, errand, next);
        return;
    }
    if (ended.error().code == error_code::Unreachable) {
        errand->done(tl::unexpected(ended.error()));
        return;
    }
    if (ended.error().code == error_code::Unknown)
        errand->unknown = next;
    tryChange(daemon, errand);
}

auto writeChange(daemon_process &daemon, const shared_change &errand, const store_value &stored)
        -> void
{
    const auto present = parseConfiguration(stored);
    if (!present) {
        errand->done(tl::unexpected(present.error()));
        return;
    }
    // The write whose answer was lost is the one that is stored.
    if (errand->unknown && *present == *errand->unknown) {
        accept(daemon, errand, *present);
        return;
    }
    const auto next = applyChange(*present, errand->change, errand->expected, daemon.services);
    if (!next) {
        errand->done(tl::unexpected(next.error()));
        return;
    }
    storeWrite(daemon, configurationKey(), toWire(*next).SerializeAsString(), stored.index,
               [&daemon, errand, next = *next](const result<void> &ended) {
                   finishWrite(daemon, errand, next, ended);
               });
}

auto tryChange(daemon_process &daemon, const shared_change &errand) -> void
{
    if (++errand->tries > maxTries) {
        const auto code = errand->unknown ? error_code::Unknown : error_code::Conflict;
        errand->done(failure(code, "the key-value service gave no clear answer"));
        return;
    }
    storeRead(daemon, configurationKey(), [&daemon, errand](const result<store_value> &ended) {
        if (ended)
            writeChange(daemon, errand, *ended);
        else if (errand->unknown)
            postAfter(*daemon.workers, daemon.store.timeout,
                      [&daemon, errand] { tryChange(daemon, errand); });
        else
            errand->done(failure(error_code::Unreachable,
                                 "the key-value service: " + ended.error().detail));
    });
}

} // namespace

auto changeConfiguration(daemon_process &daemon, const configuration_change &change,
                         std::optional<std::uint64_t> expected, store_callback<configuration> done)
        -> void
{
    auto errand = std::make_shared<change_errand>();
    errand->change = change;
    errand->expected = expected;
    errand->done = std::move(done);
    tryChange(daemon, errand);
}

} // namespace parsleyloft
