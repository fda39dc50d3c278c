#include "policy/outlier_ejection.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Five in a row: at one failure in ten by chance, one answer in 100,000 ejects wrongly.
constexpr int bad_to_eject = 5;
constexpr milliseconds first_time_out{3000};
constexpr int most_doublings = 4;
/// At most a third of the group is out. Where more look bad, the fault is more likely ours, the network's or
/// the load's, and ejecting would put the whole load on the rest.
constexpr std::size_t out_divisor = 3;
/// Two in a row: one failure may be the request's. A trial a second finds a target that has recovered as soon
/// as its callers would notice.
constexpr int bad_to_doubt = 2;
constexpr milliseconds doubt_time{1000};
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
        target.bad_in_row = 0;
        target.ejections = 0;
        return false;
    }
    target.last_bad = now;
    if (++target.bad_in_row < bad_to_eject) {
        return false;
    }
    return eject(target, group_size, now);
}

bool outlier_ejection::eject(target_health& target, std::size_t group_size, time_point now)
{
    const bool already = target.out_until != time_point{};
    if (already || (out_ + 1) * out_divisor > group_size) {
        return false;
    }
    ++out_;
    const int doublings = std::min(target.ejections++, most_doublings);
    target.out_until = now + first_time_out * (1 << doublings);
    target.bad_in_row = 0;
    return true;
}

bool outlier_ejection::is_out(target_health& target, time_point now)
{
    if (target.out_until == time_point{}) {
        return false;
    }
    if (now < target.out_until) {
        return true;
    }
    forget(target);
    return false;
}

void outlier_ejection::forget(target_health& target)
{
    if (target.out_until != time_point{}) {
        target.out_until = {};
        --out_;
    }
}

// Load pattern: more targets fail at once than may be ejected. Those that stay always have room and draw the
// work that least-loaded placement has to give. No target is overloaded by it: the others take no more than
// their limits.
bool is_doubtful(const target_health& target, time_point now)
{
    return target.bad_in_row >= bad_to_doubt && now - target.last_bad < doubt_time;
}

bool is_slow(duration latency, duration group_median)
{
    return latency > slow_floor && group_median.count() > 0 && latency > slow_factor * group_median;
}

} // namespace vanillagauge::policy
