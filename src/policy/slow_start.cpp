#include "policy/slow_start.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Long enough to fill caches and open connections at a tenth to half of the load; short compared with a
/// replacement's minutes of use.
constexpr std::chrono::duration<double> ramp{10};
constexpr double first_share = 0.1;

} // namespace

// Load pattern: a target that starts during a surge. With nothing in flight, least-loaded placement of every
// node picks it for nearly all new work; with cold caches it responds late, times out and is ejected again.
// The initial targets of a group need no ramp: no other target could do their work.
double slow_start_share(time_point joined, time_point now)
{
    if (joined == time_point{}) {
        return 1.0;
    }
    const std::chrono::duration<double> age = now - joined;
    return std::clamp(age / ramp, first_share, 1.0);
}

} // namespace vanillagauge::policy
