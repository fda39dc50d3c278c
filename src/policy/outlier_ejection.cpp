#include "policy/outlier_ejection.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// With one random failure in ten, one response in 100,000 ejects wrongly.
constexpr int failures_to_eject = 5;
constexpr milliseconds base_ejection_time{3000};
constexpr int max_doublings = 4;
/// At most a third of the group is ejected. If more targets fail, the cause is more likely this node, the
/// network or overload, and ejecting would put the whole load on the rest.
constexpr std::size_t ejected_divisor = 3;
/// A single failure may be the request's fault. One trial request a second detects a recovered target soon
/// enough for callers.
constexpr int failures_to_avoid = 2;
constexpr milliseconds avoid_time{1000};
/// Long requests among short ones are a few times slower, a failing target by an order of magnitude.
constexpr int slow_factor = 6;
/// Shorter latencies vary with OS scheduling alone.
constexpr milliseconds slow_floor{50};

} // namespace

// Load pattern: a target that fails immediately or is very slow. A fast failure frees capacity sooner than a
// slow success, so least-loaded placement sends it ever more work. The limit of a slow target shrinks, but
// each request sent to it is still late.
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

// Load pattern: more targets fail than may be ejected. The remaining ones always have capacity, and
// least-loaded placement prefers them. Avoiding them overloads no other target: each is bounded by its limit.
bool failed_recently(const target_health& target, time_point now)
{
    return target.consecutive_failures >= failures_to_avoid && now - target.last_failure < avoid_time;
}

// Load pattern: replicas that differ permanently in speed. Judged against the group alone, the slowest is
// ejected although it could serve what the others have no room for; a slow answer is one that is unusual for
// the target itself. The group's median still bounds it, so that a fast target whose VM is busy for a moment
// isn't ejected for answers that are normal elsewhere.
bool is_slow(duration latency, duration own_median, duration group_median)
{
    const auto usual = std::max(own_median, group_median);
    return latency > slow_floor && own_median.count() > 0 && latency > slow_factor * usual;
}

} // namespace vanillagauge::policy
