#include "base/clock.hpp"

namespace vanillagauge {

milliseconds milliseconds_between(time_point from, time_point to)
{
    if (to <= from) {
        return milliseconds{0};
    }
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace vanillagauge
