#include "policy/placement.hpp"

namespace vanillagauge::policy {
namespace {

bool has_room(const candidate& target)
{
    return target.usable && target.in_flight < target.limit;
}

/// In flight as a share of the limit, compared without division.
bool less_loaded(const candidate& left, const candidate& right)
{
    return static_cast<std::int64_t>(left.in_flight) * right.limit <
           static_cast<std::int64_t>(right.in_flight) * left.limit;
}

std::vector<std::size_t> with_room(const std::vector<candidate>& candidates, const std::string* domain)
{
    std::vector<std::size_t> found;
    for (std::size_t place = 0; place < candidates.size(); ++place) {
        const bool near = domain == nullptr || candidates[place].failure_domain == *domain;
        if (near && has_room(candidates[place])) {
            found.push_back(place);
        }
    }
    return found;
}

} // namespace

// Load pattern: many entry nodes choose at once from load figures that are a little old. Taking the least
// loaded of all sends every node to the same target until the next report; two random choices spread them and
// still avoid a slow target. Two is the threshold: the step from one to two removes most of the imbalance, a
// third adds little.
std::optional<std::size_t> place(const std::vector<candidate>& candidates, const std::string& near_domain,
                                 std::mt19937_64& random)
{
    auto found = with_room(candidates, &near_domain);
    if (found.empty()) {
        found = with_room(candidates, nullptr);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, found.size() - 1);
    const std::size_t first = found[draw(random)];
    const std::size_t second = found[draw(random)];
    return less_loaded(candidates[second], candidates[first]) ? second : first;
}

} // namespace vanillagauge::policy
