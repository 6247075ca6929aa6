// Tokens of accounts with a quota. They are requested from the account's quota host, which may be
// this host.
#pragma once

#include "router/router.h"

namespace parsleyloft {

// Requests a token for one request of the account. The callback is called at once if this host has
// one, and until then at the latest.
auto requestToken(router_process &router, const client_account &account, instant until,
                  const token_callback &done) -> void;

// Takes a token that this host has, and returns until when it may be spent.
auto takeHeldToken(router_process &router, const account_name &account) -> std::optional<instant>;

auto returnToken(router_process &router, const account_name &account, instant expires) -> void;

// False once this host has received no configuration for longer than keys may be accepted then.
auto mayAcceptKeys(router_process &router) -> bool;

auto setAccountBounds(router_process &router, const wire::HostBounds &bounds) -> void;

// Handler for calls from other hosts.
auto answerQuota(router_process &router, const wire::QuotaRequest &request,
                 const peer_responder<wire::QuotaReply> &respond) -> void;

} // namespace parsleyloft
