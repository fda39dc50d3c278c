#include "usage/window.hpp"

namespace vanillagauge::usage {

std::uint64_t window_at(wall_time at, milliseconds length)
{
    const auto since_epoch = std::chrono::floor<milliseconds>(at.time_since_epoch());
    return static_cast<std::uint64_t>(since_epoch.count() / length.count());
}

wall_time end_of_window(std::uint64_t window, milliseconds length)
{
    return wall_time{length * static_cast<milliseconds::rep>(window + 1)};
}

} // namespace vanillagauge::usage
