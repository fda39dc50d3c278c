#include "policy/feed_pause.hpp"

#include "policy/copy_age.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Of the random time between two requests, of which the first ended early and brought nothing.
constexpr milliseconds min_watch_interval{250};
/// No copy may become older than between two watches that are held.
constexpr milliseconds max_watch_interval = confirming_watch_time;

/// The same for polls of peers, which cost no call to the store.
constexpr milliseconds min_poll_interval{50};
constexpr milliseconds max_poll_interval{100};
constexpr milliseconds changed_poll_interval{20};

static_assert(coalescing_delay < min_watch_interval);
static_assert(max_poll_interval < serving_poll_time);

duration random_interval(milliseconds least, milliseconds most, std::mt19937_64& random)
{
    std::uniform_int_distribution<std::int64_t> interval(least.count(), most.count());
    return milliseconds{interval(random)};
}

/// What is left of the interval.
duration left_of(duration interval, duration took)
{
    return std::max(interval - took, duration{0});
}

} // namespace

// Failure: a store whose revision does not move, or that refuses to hold watches, ends each one at once.
// Asked again at once it is called thousands of times a second, by all watchers, and the gateway does nothing
// else. A watch that is held lasts longer than the interval and is followed by the next one without a pause.
duration pause_after_watch(bool changed, duration took, std::mt19937_64& random)
{
    if (changed) {
        return coalescing_delay;
    }
    return left_of(random_interval(min_watch_interval, max_watch_interval, random), took);
}

duration pause_after_poll(bool changed, duration took, std::mt19937_64& random)
{
    if (changed) {
        return left_of(changed_poll_interval, took);
    }
    return left_of(random_interval(min_poll_interval, max_poll_interval, random), took);
}

} // namespace vanillagauge::policy
