#include "policy/placement.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// With 9 of 10 targets full, 48 examined ones miss all the others in one draw out of 150; the request then
/// waits for the next response, microseconds in a group of that size.
constexpr std::size_t max_examined = 48;
/// Keeps a target's share of the prefixes within about a third of the mean; the load bound does the rest.
constexpr std::uint64_t points_per_target = 8;

} // namespace

// Load pattern: many entry nodes choose at once from slightly stale load figures. Choosing the least loaded
// target sends every node to the same one until its figures change; two random choices spread the load and
// still avoid a slow target. A third choice adds little. A scan from a random index finds each choice, so the
// cost is the same for 20 targets and 6,500.
std::optional<std::size_t> place_two_choices(const std::vector<std::size_t>& candidates,
                                             const is_usable& usable, const load_of& load,
                                             std::mt19937_64& random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t max_tries = std::min(candidates.size(), max_examined);
    // Each choice starts at its own random index; otherwise neighbours in the list would always compete.
    const auto find_from = [&](std::size_t start) -> std::optional<std::size_t> {
        for (std::size_t tries = 0; tries < max_tries; ++tries) {
            const auto index = candidates[(start + tries) % candidates.size()];
            if (usable(index)) {
                return index;
            }
        }
        return std::nullopt;
    };
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    const auto first = find_from(draw(random));
    if (!first) {
        return std::nullopt;
    }
    const auto second = find_from(draw(random));
    if (!second || load(*first) <= load(*second)) {
        return first;
    }
    return second;
}

// Load pattern: few targets of uneven speed. Two random choices out of four are the two slowest in one draw
// out of six. Starts at a random index, so that targets without figures share the load.
std::optional<std::size_t> place_least_loaded(const std::vector<std::size_t>& candidates,
                                              const is_usable& usable, const load_of& load,
                                              std::mt19937_64& random)
{
    std::optional<std::size_t> least;
    double least_load = 0;
    const auto start = candidates.empty() ? 0 : random() % candidates.size();
    for (std::size_t tries = 0; tries < candidates.size(); ++tries) {
        const auto index = candidates[(start + tries) % candidates.size()];
        if (!usable(index)) {
            continue;
        }
        const double found = load(index);
        if (!least || found < least_load) {
            least = index;
            least_load = found;
        }
    }
    return least;
}

// Load pattern: prompts that share long prefixes. Spread at random, every engine computes and caches all of
// them and soon evicts each. On a hash ring a prefix stays at its targets when others join or leave.
prefix_ring::prefix_ring(const std::vector<std::pair<std::string, std::size_t>>& targets)
{
    points_.reserve(targets.size() * points_per_target);
    for (const auto& [id, index] : targets) {
        for (std::uint64_t point = 0; point < points_per_target; ++point) {
            points_.emplace_back(hash64(id, point), index);
        }
    }
    std::sort(points_.begin(), points_.end());
}

std::optional<std::size_t> prefix_ring::at(std::uint64_t prefix, std::size_t choice) const
{
    if (points_.empty()) {
        return std::nullopt;
    }
    const auto from =
        std::lower_bound(points_.begin(), points_.end(), std::make_pair(prefix, std::size_t{0}));
    const auto start = static_cast<std::size_t>(from - points_.begin());
    return points_[(start + choice) % points_.size()].second;
}

} // namespace vanillagauge::policy
