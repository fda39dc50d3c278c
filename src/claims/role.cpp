#include "claims/role.hpp"

namespace vanillagauge::claims {

pair_role role_of(const claim_pair& pair, const std::string& vm, const std::set<std::uint64_t>& own)
{
    if (pair.home.vm == vm) {
        return own.contains(pair.home.number) ? pair_role::home : pair_role::later_home;
    }
    if (pair.backup.vm == vm) {
        return own.contains(pair.backup.number) ? pair_role::backup : pair_role::later_backup;
    }
    return pair_role::neither;
}

} // namespace vanillagauge::claims
