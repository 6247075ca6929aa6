// Periodic state exchanges between hosts: leases, assignment tables, configuration and reports.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Starts one exchange with the leader, or with the next known host while no leader is known.
// The leader exchanges with itself, by the same code.
auto exchangeWithLeader(daemon_process &daemon) -> void;

// Starts one exchange with the known hosts in turn, so that the configuration also reaches
// hosts that can't reach the leader.
auto exchangeWithNextPeer(daemon_process &daemon) -> void;

// Answers an exchange request of another host, or of this host itself when it leads.
auto answerExchange(daemon_process &daemon, const wire::ExchangeRequest &request)
        -> wire::ExchangeReply;

} // namespace parsleyloft
