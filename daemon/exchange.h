// Exchanges of state between hosts: leases, tables, configuration, reports.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Begins one exchange with the leader, or with another host while none is known.
auto exchangeWithLeader(daemon_process &daemon) -> void;

// Begins one exchange with a host drawn in turn, so that configuration spreads also
// among hosts that can't reach the leader.
auto exchangeWithNextPeer(daemon_process &daemon) -> void;

// Answers another host, or this host itself when it leads.
auto answerExchange(daemon_process &daemon, const wire::ExchangeRequest &request)
        -> wire::ExchangeReply;

} // namespace parsleyloft
