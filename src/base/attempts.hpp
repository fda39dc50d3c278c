/// Repeated attempts at a step of a program's start.
#ifndef VANILLAGAUGE_BASE_ATTEMPTS_HPP
#define VANILLAGAUGE_BASE_ATTEMPTS_HPP

#include "base/clock.hpp"

#include <thread>

namespace vanillagauge {

/// How long a program waits at its start for an address that another socket still holds.
constexpr milliseconds address_wait{5000};

/// Calls `attempt` until it returns true, at least once and for at most `patience`; blocks the thread in
/// between. Returns the last outcome.
template <class Attempt>
bool attempt_for(duration patience, Attempt attempt)
{
    constexpr milliseconds pause{100};
    const auto until = steady::now() + patience;
    while (!attempt()) {
        if (steady::now() + pause > until) {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
    return true;
}

} // namespace vanillagauge

#endif
