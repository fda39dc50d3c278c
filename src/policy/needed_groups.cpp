#include "policy/needed_groups.hpp"

#include <algorithm>

namespace vanillagauge::policy {

// Load pattern: a trainer goes on with 90% of a step's groups. Items of the others compete for the fast
// engines with the items that it waits for, and moving their runs repeats work for nothing. A group is
// certain once all its open items run and end in time; the certain groups that end first are the needed ones.
// If the engine of one fails, its end is no longer known and the other groups are needed again. A step that
// is late counts every group with a known end: otherwise all groups would compete when time is shortest.
std::vector<group_need> needed_groups(const std::vector<group_view>& groups, std::size_t wanted,
                                      duration due_in)
{
    std::vector<group_need> needs(groups.size(), group_need::needed);
    std::vector<std::size_t> certain;
    std::size_t complete = 0;
    for (std::size_t index = 0; index < groups.size(); ++index) {
        const auto& group = groups[index];
        needs[index] = group.from_earlier_batch ? group_need::earlier : group_need::needed;
        complete += group.complete ? 1 : 0;
        const bool in_time = group.ends_in && (due_in <= duration{0} || *group.ends_in <= due_in);
        if (!group.complete && in_time) {
            certain.push_back(index);
        }
    }
    if (wanted == 0 || complete + certain.size() < wanted) {
        return needs;
    }
    const auto missing = wanted - std::min(wanted, complete);
    std::stable_sort(certain.begin(), certain.end(), [&](std::size_t left, std::size_t right) {
        return *groups[left].ends_in < *groups[right].ends_in;
    });
    std::vector<bool> kept(groups.size(), false);
    for (std::size_t rank = 0; rank < missing; ++rank) {
        kept[certain[rank]] = true;
    }
    for (std::size_t index = 0; index < groups.size(); ++index) {
        if (!kept[index] && needs[index] == group_need::needed) {
            needs[index] = group_need::spare;
        }
    }
    return needs;
}

} // namespace vanillagauge::policy
