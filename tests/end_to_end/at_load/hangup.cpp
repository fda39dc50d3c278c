// Stands for a library whose constructor takes long: the signal comes before the program's main has begun.
#include <csignal>

[[gnu::constructor]] static void hang_up()
{
    std::raise(SIGHUP);
    std::raise(SIGTERM);
}
