/// Ramps up the limit of a target that joins the group or returns to it.
#ifndef VANILLAGAUGE_POLICY_SLOW_START_HPP
#define VANILLAGAUGE_POLICY_SLOW_START_HPP

#include "base/base.hpp"

namespace vanillagauge::policy {

/// Fraction of the limit, between 0.1 and 1; `joined` is the epoch for a target that needs no ramp.
double slow_start_share(time_point joined, time_point now);

} // namespace vanillagauge::policy

#endif
