/// The role of a process in a claim pair.
#ifndef VANILLAGAUGE_CLAIMS_ROLE_HPP
#define VANILLAGAUGE_CLAIMS_ROLE_HPP

#include "claims/key.hpp"

#include <set>

namespace vanillagauge::claims {

enum class pair_role {
    primary,
    backup,
    restarted_primary, ///< the primary was an earlier run on this VM, whose records are lost
    restarted_backup,  ///< the same for the backup
    neither,
};

/// `own_incarnations` are the numbers that this process has had since its start; only for these are its
/// records complete.
pair_role role_of(const claim_pair& pair, const std::string& vm,
                  const std::set<std::uint64_t>& own_incarnations);

} // namespace vanillagauge::claims

#endif
