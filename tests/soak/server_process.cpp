// A backend server of the soak whose answers are given byte by byte.
#include "soak/server_process.h"

namespace parsleyloft {

auto toArguments(const server_process_options &) -> std::vector<std::string>
{
    return {"server"};
}

auto runServerProcess(const arguments &) -> exit_code
{
    return exit_code::Failed;
}

} // namespace parsleyloft
