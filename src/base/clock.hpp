/// Clock types. Pure libraries take a time_point as a parameter and never read a clock.
#ifndef VANILLAGAUGE_BASE_CLOCK_HPP
#define VANILLAGAUGE_BASE_CLOCK_HPP

#include <chrono>

namespace vanillagauge {

using steady = std::chrono::steady_clock;
using time_point = steady::time_point;
using duration = steady::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds from `from` to `to`; 0 if `to` is before `from`.
milliseconds milliseconds_between(time_point from, time_point to);

/// Time since the machine started. Unlike the steady clock it includes time in which the machine was
/// suspended.
duration time_since_boot();

} // namespace vanillagauge

#endif
