// Leader election: this host's candidacy and its consent to other candidates.
#pragma once

#include "daemon/daemon.h"

namespace parsleyloft {

// Starts a candidacy when no leader has been in contact for too long.
auto startCandidacyIfDue(daemon_process &daemon) -> void;

auto handleConsentRequest(daemon_process &daemon, const wire::ConsentRequest &request)
        -> wire::ConsentReply;

// Reads the member record from the key-value service. A host consents to a candidate that
// recovered through the service only after it has read the record.
auto readMemberRecord(daemon_process &daemon) -> void;

} // namespace parsleyloft
