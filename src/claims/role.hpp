/// What one process is to a key.
#ifndef VANILLAGAUGE_CLAIMS_ROLE_HPP
#define VANILLAGAUGE_CLAIMS_ROLE_HPP

#include "claims/key.hpp"

#include <set>

namespace vanillagauge::claims {

enum class pair_role {
    primary,
    backup,
    restarted_primary, ///< this VM's home of the key was an earlier run, whose memory is lost
    restarted_backup,  ///< the same of the backup
    neither,
};

/// `own` are the incarnation numbers this process has had since its start; its memory is whole for these and
/// for no other.
pair_role role_of(const claim_pair& pair, const std::string& vm,
                  const std::set<std::uint64_t>& own_incarnations);

} // namespace vanillagauge::claims

#endif
