#include "policy/outlier_ejection.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Five in a row: at one failure in ten by chance, one answer in 100,000 ejects wrongly.
constexpr int failures_to_eject = 5;
constexpr milliseconds base_ejection_time{3000};
constexpr int max_doublings = 4;
/// At most a third of the group is out. Where more look bad, the fault is more likely ours, the network's or
/// the load's, and ejecting would put the whole load on the rest.
constexpr std::size_t ejected_divisor = 3;
/// Two in a row: one failure may be the request's. A trial a second finds a target that has recovered as soon
/// as its callers would notice.
constexpr int failures_to_avoid = 2;
constexpr milliseconds avoid_time{1000};
/// Long requests among short ones are a few times slower; a sick target is slower by an order of magnitude.
constexpr int slow_factor = 6;
/// Below this, differences are the scheduler's.
constexpr milliseconds slow_floor{50};

} // namespace

// Load pattern: a target that fails at once, or crawls. It always has room, so least-loaded placement sends
// it ever more work, and a fast failure draws more than a slow success. The limit of a crawling target
// shrinks, but each request sent to it is still late.
bool outlier_ejection::on_answer(target_health& target, bool good, std::size_t group_size, time_point now)
{
    if (good) {
        target.consecutive_failures = 0;
        target.consecutive_ejections = 0;
        return false;
    }
    target.last_failure = now;
    if (++target.consecutive_failures < failures_to_eject) {
        return false;
    }
    return eject(target, group_size, now);
}

bool outlier_ejection::eject(target_health& target, std::size_t group_size, time_point now)
{
    const bool already = target.ejected_until != time_point{};
    if (already || (ejected_ + 1) * ejected_divisor > group_size) {
        return false;
    }
    ++ejected_;
    const int doublings = std::min(target.consecutive_ejections++, max_doublings);
    target.ejected_until = now + base_ejection_time * (1 << doublings);
    target.consecutive_failures = 0;
    return true;
}

bool outlier_ejection::is_ejected(target_health& target, time_point now)
{
    if (target.ejected_until == time_point{}) {
        return false;
    }
    if (now < target.ejected_until) {
        return true;
    }
    reinstate(target);
    return false;
}

void outlier_ejection::reinstate(target_health& target)
{
    if (target.ejected_until != time_point{}) {
        target.ejected_until = {};
        --ejected_;
    }
}

// Load pattern: more targets fail at once than may be ejected. Those that stay always have room and draw the
// work that least-loaded placement has to give. No target is overloaded by it: the others take no more than
// their limits.
bool failed_recently(const target_health& target, time_point now)
{
    return target.consecutive_failures >= failures_to_avoid && now - target.last_failure < avoid_time;
}

bool is_slow(duration latency, duration group_median)
{
    return latency > slow_floor && group_median.count() > 0 && latency > slow_factor * group_median;
}

} // namespace vanillagauge::policy
