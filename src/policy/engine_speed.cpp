#include "policy/engine_speed.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Engines of one service differ by some 30% by their make, and several times while one is in trouble; the
/// smoothed gaps of equal engines differ by some 5%.
constexpr double slow_factor = 1.18;
constexpr std::size_t min_measured = 3;

} // namespace

// Load pattern: long items among short ones on engines of two speeds. A step is as late as its longest item,
// which on a slow engine alone takes longer than the step may. The fast quarter sets the measure, so that
// many slow engines at once do not make themselves the rule.
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
