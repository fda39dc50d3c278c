/// Chooses the VMs that run work which needs much processor for seconds, such as batches.
#ifndef VANILLAGAUGE_POLICY_OWNER_CHOICE_HPP
#define VANILLAGAUGE_POLICY_OWNER_CHOICE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace vanillagauge::policy {

struct owner_candidate {
    std::string vm;
    std::uint32_t capacity = 0; ///< processor, thousandths of a core; 0: unknown
};

/// The VMs with the largest processors, in no particular order; none only if there is no candidate.
std::vector<std::string> largest_owners(std::vector<owner_candidate> candidates);

} // namespace vanillagauge::policy

#endif
