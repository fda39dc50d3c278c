#include "base/clock.hpp"

#include <ctime>

namespace vanillagauge {

milliseconds milliseconds_between(time_point from, time_point to)
{
    if (to <= from) {
        return milliseconds{0};
    }
    return std::chrono::duration_cast<milliseconds>(to - from);
}

duration time_since_boot()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

} // namespace vanillagauge
