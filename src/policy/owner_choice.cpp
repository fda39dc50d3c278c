#include "policy/owner_choice.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// A VM with a smaller share of the largest processor is not chosen beside it.
constexpr std::uint32_t comparable_divisor = 2;
/// Spreads the work, and leaves successors, where a fleet has but a few large VMs.
constexpr std::size_t min_owners = 4;

} // namespace

// Load pattern: a batch streams hundreds of events a second to its owner. On the smallest VMs of a mixed
// fleet, a tenth of a core each, these events wait for the processor and the whole step is late, while VMs
// with four times as much are idle.
std::vector<std::string> largest_owners(std::vector<owner_candidate> candidates)
{
    std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return left.capacity != right.capacity ? left.capacity > right.capacity : left.vm < right.vm;
    });
    std::vector<std::string> chosen;
    std::uint32_t last = 0;
    for (const auto& candidate : candidates) {
        const bool comparable = candidate.capacity * comparable_divisor >= candidates.front().capacity;
        // Equals of the last one are chosen with it: a cut among them would depend on their names.
        const bool needed = chosen.size() < min_owners || candidate.capacity == last;
        if (!comparable && !needed) {
            break;
        }
        chosen.push_back(candidate.vm);
        last = candidate.capacity;
    }
    return chosen;
}

} // namespace vanillagauge::policy
