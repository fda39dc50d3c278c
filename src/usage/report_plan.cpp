#include "usage/report_plan.hpp"

#include <algorithm>
#include <limits>

namespace vanillagauge::usage {
namespace {

/// Windows that closed while the store or the platform was away are still reported for this long, whatever
/// their length.
constexpr milliseconds max_backlog{60000};

} // namespace

std::uint64_t oldest_useful_window(const report_times& times, wall_time now)
{
    return window_at(now - max_backlog, times.window);
}

// What stands in the store is sent before the next window is closed, so that the log never grows beyond what
// it holds. A window that nobody has fixed is closed even when it is overdue: a late bill is better than
// none.
report_action next_report_action(const report_state& state, const report_times& times, wall_time now)
{
    if (const auto unsent = state.log.unsent()) {
        return send_report{*unsent};
    }
    const auto newest = state.log.newest();
    if (newest == std::numeric_limits<std::uint64_t>::max()) {
        return wait_for_window{}; // another writer's: none can be appended
    }
    const auto next = std::max(newest ? *newest + 1 : state.first_window, oldest_useful_window(times, now));
    if (now >= end_of_window(next, times.window) + times.close) {
        return close_window{next};
    }
    return wait_for_window{};
}

} // namespace vanillagauge::usage
