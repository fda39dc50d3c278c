#include "policy/engine_speed.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Hardware generations differ by about 30%, failing engines by several times; the smoothed gaps of equal
/// engines differ by about 5%.
constexpr double slow_factor = 1.18;
constexpr std::size_t min_measured = 3;

} // namespace

// Load pattern: long items among short ones on engines of two speeds. A step is as late as its longest item,
// which on a slow engine exceeds the step's deadline. The reference is the fastest quarter, so that many slow
// engines at once don't pass for normal.
double slow_gap_threshold(std::vector<double> gaps)
{
    std::erase_if(gaps, [](double gap) { return gap <= 0; });
    if (gaps.size() < min_measured) {
        return 0;
    }
    const auto quarter = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 4);
    std::nth_element(gaps.begin(), quarter, gaps.end());
    return *quarter * slow_factor;
}

} // namespace vanillagauge::policy
