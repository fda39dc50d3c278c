#include "objects/call_budget.hpp"

#include <algorithm>
#include <cmath>

namespace vanillagauge::objects {

double call_budget::calls_per_second() const
{
    return std::clamp(limits_.fleet_calls_per_second / static_cast<double>(fleet_size_),
                      limits_.min_calls_per_second, limits_.max_calls_per_second);
}

// After an outage every program has writes pending. Status writes could exhaust the budget, and lease holders
// would fail to renew in time. So some tokens are reserved for leases, and more for leases and configuration.
double call_budget::reserved_above(call_priority priority) const
{
    switch (priority) {
    case call_priority::lease:
        return 0;
    case call_priority::config:
        return limits_.lease_reserve;
    case call_priority::status:
        break;
    }
    return limits_.config_reserve;
}

bool call_budget::try_acquire(call_priority priority, time_point now)
{
    if (refilled_ == time_point{}) {
        refilled_ = now;
    }
    const std::chrono::duration<double> passed = now - refilled_;
    refilled_ = now;
    tokens_ = std::min(limits_.burst, tokens_ + passed.count() * calls_per_second());
    if (tokens_ < reserved_above(priority) + 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

milliseconds call_budget::retry_after(call_priority priority) const
{
    const double missing = reserved_above(priority) + 1 - tokens_;
    return milliseconds{
        static_cast<std::int64_t>(std::ceil(std::max(0.0, missing) / calls_per_second() * 1000))};
}

} // namespace vanillagauge::objects
