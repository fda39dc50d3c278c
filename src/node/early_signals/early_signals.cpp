// Blocks the signals that stop or reload a program before the constructors of its libraries run, which take
// longer than a platform waits before it signals a process that it has just started.
#include <csignal>

namespace {

void block_signals(int /*argc*/, char** /*argv*/, char** /*environment*/)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

using initializer = void (*)(int, char**, char**);
[[gnu::section(".preinit_array"), gnu::used]] const initializer block_signals_at_load = block_signals;

} // namespace
