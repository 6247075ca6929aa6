// The callers of the soak: threads that send requests over plain sockets.
#include "soak/callers.h"

namespace parsleyloft {

auto startCallers(const scene_options &, const std::vector<endpoint> &, const journal &) -> callers
{
    return {};
}

auto stopCallers(callers &running) -> void
{
    *running.stopping = true;
    for (auto &thread : running.threads)
        thread.join();
}

} // namespace parsleyloft
