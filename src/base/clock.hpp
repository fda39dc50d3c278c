/// The clocks of the project. Pure libraries take a time_point and never read a clock themselves.
#ifndef VANILLAGAUGE_BASE_CLOCK_HPP
#define VANILLAGAUGE_BASE_CLOCK_HPP

#include <chrono>

namespace vanillagauge {

using steady = std::chrono::steady_clock;
using time_point = steady::time_point;
using duration = steady::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds from `from` to `to`; 0 where `to` lies before `from`.
milliseconds milliseconds_between(time_point from, time_point to);

} // namespace vanillagauge

#endif
