#include "policy/run_move.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// For publishing and reading the results, and for a move later on.
constexpr milliseconds reserve{1000};

/// Lengths come from other programs; a longer run is late as well, and its end may be beyond the clock's.
constexpr std::chrono::duration<double, std::milli> max_needed = std::chrono::hours{24 * 365};

} // namespace

// Load pattern: many short items and a few as long as the step may take, on engines of two speeds. A move
// costs a connection, a second reading of the prompt and a pause; a short item that ends in time anyway gains
// nothing by it, and takes the place on a fast engine that a long one needs.
bool may_miss_due_time(const run_view& run, time_point now)
{
    const auto left = likely_events_left(run.length);
    if (!left) {
        return true;
    }
    const auto needed = std::min(std::chrono::duration<double, std::milli>{*left * run.gap_ms}, max_needed);
    return now + std::chrono::duration_cast<duration>(needed) + reserve > run.due;
}

} // namespace vanillagauge::policy
