// Selects the host from which this host receives updates of the store and the ownership tables.
#pragma once

#include "router/router.h"

namespace parsleyloft {

struct update_source
{
    host_id id;
    std::string address;
};

// The first update source that is not suspected. Empty when there is none: this host then leads or
// has to read the store itself.
auto chooseUpdateSource(router_process &router) -> std::optional<update_source>;

// Records that the host has sent updates.
auto confirmSource(router_process &router, const host_id &id) -> void;

// Records that the host could not serve updates. It is not called for a while.
auto suspectSource(router_process &router, const host_id &id, const std::string &reason) -> void;

// Makes all hosts eligible as update source again. Returns whether there is one.
auto clearSourceSuspicions(router_process &router) -> bool;

// True when the call failed because the connection to the source is still being opened, and should
// be repeated. Gives up after a few calls in a row.
auto isConnecting(router_process &router, const result<wire::SyncReply> &reply) -> bool;

// Starts the time during which a host that has just started waits for updates of other hosts.
auto beginStartupWait(router_process &router) -> void;

// True while a started host waits for updates of other hosts. False for the host that leads or will
// lead, because the others wait for it.
auto isAwaitingUpdates(router_process &router) -> bool;

// True once per interval while a host waits: the list of hosts is read again, because hosts that
// started at the same time may have been missing from it.
auto isHostsReadDue(router_process &router) -> bool;

} // namespace parsleyloft
