#include "policy/run_move.hpp"

namespace vanillagauge::policy {
namespace {

/// For publishing and reading the results, and for a move later on.
constexpr milliseconds reserve{1000};

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
    const std::chrono::duration<double, std::milli> needed{*left * run.gap_ms};
    return now + std::chrono::duration_cast<duration>(needed) + reserve > run.due;
}

} // namespace vanillagauge::policy
