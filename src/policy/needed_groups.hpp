/// Which groups of a step its trainer still needs.
#ifndef VANILLAGAUGE_POLICY_NEEDED_GROUPS_HPP
#define VANILLAGAUGE_POLICY_NEEDED_GROUPS_HPP

#include "base/clock.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace vanillagauge::policy {

/// In the order in which the groups' items are placed.
enum class group_need {
    earlier, ///< came in an earlier batch; the trainer waits for it in any case
    needed,
    spare, ///< enough other groups are complete or certain to complete
};

struct group_view {
    bool complete = false;
    bool from_earlier_batch = false;
    std::optional<duration> ends_in{}; ///< when all open items run and their lengths are known
};

/// By index of the group. `wanted` groups complete the step, all of them if zero; its results are due in
/// `due_in`.
std::vector<group_need> needed_groups(const std::vector<group_view>& groups, std::size_t wanted,
                                      duration due_in);

} // namespace vanillagauge::policy

#endif
