#include "policy/latency_quantile.hpp"

namespace vanillagauge::policy {
namespace {

/// Largest relative change for one sample: a doubling is followed within about 30 samples, and a single
/// outlier has no visible effect.
constexpr double step = 0.05;

} // namespace

// Load pattern: one slow target among healthy ones. It raises a mean until it looks normal itself; a quantile
// that counts samples above and below follows the majority.
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
