#include "gateway/engines/engine_view.hpp"

#include <algorithm>

namespace vanillagauge::gateway {

int engine_view::free_places(const target& engine, time_point) const
{
    return std::max(0, engine.info.slots - engine.streams);
}

bool engine_view::is_loading(const target&, const std::string&, time_point) const
{
    return false;
}

double engine_view::events_left(const target&, time_point) const
{
    return 0;
}

} // namespace vanillagauge::gateway
