#include "claims/role.hpp"

namespace vanillagauge::claims {

pair_role role_of(const claim_pair& pair, const std::string& vm,
                  const std::set<std::uint64_t>& own_incarnations)
{
    if (pair.primary.vm == vm) {
        return own_incarnations.contains(pair.primary.number) ? pair_role::primary
                                                              : pair_role::restarted_primary;
    }
    if (pair.backup.vm == vm) {
        return own_incarnations.contains(pair.backup.number) ? pair_role::backup
                                                             : pair_role::restarted_backup;
    }
    return pair_role::neither;
}

} // namespace vanillagauge::claims
