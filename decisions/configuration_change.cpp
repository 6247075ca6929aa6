// Operators' changes: checked, applied to a revision, and taken over in rising order only.
#include "decisions/configuration_change.h"

#include "decisions/routing.h"

namespace parsleyloft {

namespace {

constexpr duration longestWait = 10min;
constexpr std::uint32_t wholeInPermille = 1000;

auto checkClass(const class_of_work &work, const std::vector<service_info> &services)
        -> result<void>
{
    if (work.name.empty())
        return failure(error_code::InvalidInput, "name: must not be empty");
    if (findService(services, work.service) == nullptr)
        return failure(error_code::InvalidInput,
                       "service: '" + work.service + "' is not in the settings");
    if (work.maxWait <= 0us || work.maxWait > longestWait)
        return failure(error_code::InvalidInput, "max_wait_ms: must be from 1 to 600000");
    if (work.maxRefusedPermille > wholeInPermille)
        return failure(error_code::InvalidInput, "max_refused_permille: must be from 0 to 1000");
    return {};
}

auto setMembership(std::set<std::string> &out, const std::string &id, bool isOut) -> void
{
    if (isOut)
        out.insert(id);
    else
        out.erase(id);
}

auto change(configuration &next, const set_class &wanted, const std::vector<service_info> &services)
        -> result<void>
{
    auto checked = checkClass(wanted.work, services);
    if (checked)
        next.classes[wanted.work.name] = wanted.work;
    return checked;
}

auto change(configuration &next, const remove_class &wanted, const std::vector<service_info> &)
        -> result<void>
{
    if (next.classes.erase(wanted.name) == 0)
        return failure(error_code::NotFound, "no class '" + wanted.name + "'");
    return {};
}

auto change(configuration &next, const set_domain &wanted, const std::vector<service_info> &)
        -> result<void>
{
    if (wanted.domain.empty())
        return failure(error_code::InvalidInput, "domain: must not be empty");
    setMembership(next.evacuatedDomains, wanted.domain, wanted.out);
    return {};
}

auto change(configuration &next, const set_host &wanted, const std::vector<service_info> &)
        -> result<void>
{
    if (wanted.host.empty())
        return failure(error_code::InvalidInput, "host: must not be empty");
    setMembership(next.evacuatedHosts, wanted.host, wanted.out);
    return {};
}

} // namespace

auto applyChange(const configuration &current, const configuration_change &wanted,
                 std::optional<std::uint64_t> expected, const std::vector<service_info> &services)
        -> result<configuration>
{
    if (expected && *expected != current.revision)
        return failure(error_code::Conflict,
                       "the current revision is " + std::to_string(current.revision));
    auto next = current;
    const auto changed =
            std::visit([&](const auto &one) { return change(next, one, services); }, wanted);
    if (!changed)
        return tl::unexpected(changed.error());
    ++next.revision;
    return next;
}

auto takeConfiguration(configuration &current, const configuration &stored) -> bool
{
    if (stored.revision <= current.revision)
        return false;
    current = stored;
    return true;
}

} // namespace parsleyloft
