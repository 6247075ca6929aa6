// Changes of the configuration by operators: validated, applied to a revision, and adopted in the
// order of revisions only.
#include "decisions/configuration_change.h"

#include "decisions/routing.h"

namespace parsleyloft {

namespace {

constexpr duration longestWait = 10min;
constexpr std::uint32_t maxPermille = 1000;

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
    if (work.maxRefusedPermille > maxPermille)
        return failure(error_code::InvalidInput, "max_refused_permille: must be from 0 to 1000");
    return {};
}

auto setContained(std::set<std::string> &set, const std::string &id, bool contained) -> void
{
    if (contained)
        set.insert(id);
    else
        set.erase(id);
}

auto applyTo(configuration &next, const set_class &request,
             const std::vector<service_info> &services) -> result<void>
{
    auto checked = checkClass(request.work, services);
    if (checked)
        next.classes[request.work.name] = request.work;
    return checked;
}

auto applyTo(configuration &next, const remove_class &request, const std::vector<service_info> &)
        -> result<void>
{
    if (next.classes.erase(request.name) == 0)
        return failure(error_code::NotFound, "no class '" + request.name + "'");
    return {};
}

auto applyTo(configuration &next, const set_domain &request, const std::vector<service_info> &)
        -> result<void>
{
    if (request.domain.empty())
        return failure(error_code::InvalidInput, "domain: must not be empty");
    setContained(next.evacuatedDomains, request.domain, request.outOfService);
    return {};
}

auto applyTo(configuration &next, const set_host &request, const std::vector<service_info> &)
        -> result<void>
{
    if (request.host.empty())
        return failure(error_code::InvalidInput, "host: must not be empty");
    setContained(next.evacuatedHosts, request.host, request.outOfService);
    return {};
}

} // namespace

auto applyChange(const configuration &current, const configuration_change &request,
                 std::optional<std::uint64_t> expected, const std::vector<service_info> &services)
        -> result<configuration>
{
    if (expected && *expected != current.revision)
        return failure(error_code::Conflict,
                       "the current revision is " + std::to_string(current.revision));
    auto next = current;
    const auto applied =
            std::visit([&](const auto &kind) { return applyTo(next, kind, services); }, request);
    if (!applied)
        return tl::unexpected(applied.error());
    ++next.revision;
    return next;
}

auto replaceIfNewer(configuration &current, const configuration &stored) -> bool
{
    if (stored.revision <= current.revision)
        return false;
    current = stored;
    return true;
}

} // namespace parsleyloft
