#include "policy/slow_start.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Long enough to fill caches and open connections under a tenth to half of the load; short against the
/// minutes for which a replacement is needed.
constexpr std::chrono::duration<double> ramp{10};
constexpr double first_share = 0.1;

} // namespace

// Load pattern: a target that starts during a surge. It has nothing in flight, so least-loaded placement of
// every node picks it for nearly all new work; with cold caches it answers late, times out and leaves again.
// Targets that were there when the group was made need no ramp: nothing else could take their work.
double slow_start_share(time_point joined, time_point now)
{
    if (joined == time_point{}) {
        return 1.0;
    }
    const std::chrono::duration<double> age = now - joined;
    return std::clamp(age / ramp, first_share, 1.0);
}

} // namespace vanillagauge::policy
