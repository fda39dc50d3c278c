#include "policy/run_length.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Hints are right at the median; this multiple of them is seldom exceeded.
constexpr double hint_margin = 2.5;

} // namespace

std::optional<double> likely_events_left(const run_length& run)
{
    const double by_hint = run.hint * hint_margin;
    double bound = run.generated < by_hint ? by_hint : run.limit;
    if (run.limit > 0) {
        bound = std::min(bound, run.limit);
    }
    if (bound <= 0) {
        return std::nullopt;
    }
    return std::max(0.0, bound - run.generated);
}

} // namespace vanillagauge::policy
