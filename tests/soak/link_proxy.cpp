// A loopback proxy that disturbs the connections through it.
#include "soak/link_proxy.h"

namespace parsleyloft {

struct link_proxy::internals
{ };

auto startProxy(worker_pool &, const endpoint &, const endpoint &) -> result<link_proxy>
{
    return failure(error_code::Unreachable, "not implemented");
}

auto setLink(link_proxy &, link_state, duration) -> void { }

} // namespace parsleyloft
