// Standing as candidate, and consent to other candidates.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Stands as candidate when the leader has been silent for too long.
auto startCandidacyIfDue(daemon_process &daemon) -> void;

auto handleConsentRequest(daemon_process &daemon, const wire::ConsentRequest &request)
        -> wire::ConsentReply;

// Reads the member record, so that this process may consent to recoveries.
auto readMemberRecord(daemon_process &daemon) -> void;

} // namespace parsleyloft
