#include "policy/retry_after.hpp"

#include <algorithm>
#include <array>

namespace vanillagauge::policy {
namespace {

/// Callers honour a delay up to this part of their remaining time.
constexpr int time_left_divisor = 3;
constexpr double spread = 0.25;
/// Parts of the delay by urgency. The least urgent requests wait for the whole queue to drain.
constexpr std::array<double, priority_count> urgency_shares{0.5, 0.75, 1.0};

} // namespace

// Load pattern: many callers refused at the same moment, as when a service is lost or full. With one fixed
// delay they return together and are refused together. The bound is applied before the shares and the spread,
// so that long delays keep the order by urgency and the spread too.
milliseconds retry_after(duration expected_wait, priority urgency, duration time_left,
                         std::mt19937_64& random)
{
    using real_ms = std::chrono::duration<double, std::milli>;
    const real_ms bound = real_ms(time_left) / (time_left_divisor * (1 + spread));
    const real_ms base =
        std::min(real_ms(expected_wait), bound) * urgency_shares[static_cast<std::size_t>(urgency)];
    const real_ms lowest = min_retry_after;
    const double factor = std::uniform_real_distribution<double>(1, 1 + spread)(random);
    const real_ms spread_out = std::max(base, lowest) * factor;
    // Where a third of the remaining time is shorter than the minimum, the minimum applies.
    const real_ms longest = std::max(lowest, real_ms(time_left) / time_left_divisor);
    return std::chrono::duration_cast<milliseconds>(std::min(spread_out, longest));
}

} // namespace vanillagauge::policy
