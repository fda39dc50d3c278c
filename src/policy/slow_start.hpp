/// The share of its limit that a target new to the group, or back in it, may use.
#ifndef VANILLAGAUGE_POLICY_SLOW_START_HPP
#define VANILLAGAUGE_POLICY_SLOW_START_HPP

#include "base/base.hpp"

namespace vanillagauge::policy {

/// Between a tenth and 1; `joined` is empty (the epoch) for a target that needs no ramp.
double slow_start_share(time_point joined, time_point now);

} // namespace vanillagauge::policy

#endif
