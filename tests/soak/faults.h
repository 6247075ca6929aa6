// The faults that a scene brings about from outside its processes, drawn ahead from the seed.
#pragma once

#include "soak/scene.h"

#include <optional>

namespace parsleyloft {

enum class fault_kind : std::uint8_t {
    FreezeHost,
    KillHost,
    TerminateHost,
    FreezeServer,
    // The server starts again under a new id at its address. Its earlier entry lapses later.
    KillServer,
    // The server starts again under its id at its address.
    RestartServer,
    // The server announces that it leaves, serves on for the time of the fault, and ends as by
    // KillServer.
    DrainServer,
    // The server's address goes to a server of the other service.
    ReplaceServer,
    DelayLink,
    SilenceLinkToServer,
    SilenceLinkToClient,
    ResetLink,
    CutLink,
    EvacuateDomain,
};

inline constexpr name_table<fault_kind, 14> faultKindNames{{
        {fault_kind::FreezeHost, "freeze_host"},
        {fault_kind::KillHost, "kill_host"},
        {fault_kind::TerminateHost, "terminate_host"},
        {fault_kind::FreezeServer, "freeze_server"},
        {fault_kind::KillServer, "kill_server"},
        {fault_kind::RestartServer, "restart_server"},
        {fault_kind::DrainServer, "drain_server"},
        {fault_kind::ReplaceServer, "replace_server"},
        {fault_kind::DelayLink, "delay_link"},
        {fault_kind::SilenceLinkToServer, "silence_link_to_server"},
        {fault_kind::SilenceLinkToClient, "silence_link_to_client"},
        {fault_kind::ResetLink, "reset_link"},
        {fault_kind::CutLink, "cut_link"},
        {fault_kind::EvacuateDomain, "evacuate_domain"},
}};

struct scheduled_fault
{
    // From the start of the callers.
    duration at = 0us;
    duration length = 0us;
    fault_kind kind = fault_kind::FreezeHost;
    // An index among the hosts, servers, links or failure domains.
    int target = 0;
};

// The number of links that carry proxies: one to each host, server and store.
auto countLinks(const scene_options &options) -> int;

// The faults of the scene's troubles, ordered by their beginning. They come in series of their own
// for each trouble, so that faults of several troubles overlap.
auto drawFaults(const scene_options &options) -> std::vector<scheduled_fault>;

auto toText(const scheduled_fault &fault) -> std::string;

} // namespace parsleyloft
