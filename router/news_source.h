// Which host this one hears news of the store from.
#pragma once

#include "router/router.h"

namespace parsleyloft {

struct news_source
{
    host_id id;
    std::string address;
};

// The first host that may have news and is not in doubt, unless this one reads the store.
auto nextSource(router_process &router) -> std::optional<news_source>;

auto noteSource(router_process &router, const host_id &id) -> void;

// Leaves the host alone for a while.
auto noteSourceLost(router_process &router, const host_id &id, const std::string &why) -> void;

// Whether the source should be asked once more, its connection is only being opened.
auto isConnecting(router_process &router, const result<wire::SyncReply> &ended) -> bool;

// A host that has just started waits for news of the others for a while.
auto beginPatience(router_process &router) -> void;

// True while it waits. The one that leads or will lead is waited for by the others.
auto waitsForOthers(router_process &router) -> bool;

// True now and then while a host waits: those that start together may have been missing from its
// list of hosts.
auto mayReadHosts(router_process &router) -> bool;

} // namespace parsleyloft
