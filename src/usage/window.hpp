/// Windows of the wall clock, by which usage is counted.
#ifndef VANILLAGAUGE_USAGE_WINDOW_HPP
#define VANILLAGAUGE_USAGE_WINDOW_HPP

#include "base/base.hpp"

#include <chrono>
#include <cstdint>

namespace vanillagauge::usage {

using wall_time = std::chrono::system_clock::time_point;

/// The window that contains the time; window k begins k times `length` after the start of 1970.
std::uint64_t window_at(wall_time at, milliseconds length);
wall_time end_of_window(std::uint64_t window, milliseconds length);

} // namespace vanillagauge::usage

#endif
