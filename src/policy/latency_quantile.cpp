#include "policy/latency_quantile.hpp"

namespace vanillagauge::policy {
namespace {

/// One answer moves the estimate by at most this share of itself: about 30 answers follow a doubling, and a
/// single odd answer is not seen.
constexpr double step = 0.05;

} // namespace

// Load pattern: one slow target among good ones. A mean is pulled up by that target until it looks ordinary;
// a quantile that moves by counting answers above and below stays with the majority.
void latency_quantile::add(duration latency)
{
    const std::chrono::duration<double, std::nano> seen(latency);
    if (!has_value()) {
        value_ = seen;
        return;
    }
    const double move = seen > value_ ? quantile_ : quantile_ - 1.0;
    value_ *= 1.0 + step * move;
}

} // namespace vanillagauge::policy
