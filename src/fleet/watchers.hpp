/// Which VMs watch the store for the whole fleet.
#ifndef VANILLAGAUGE_FLEET_WATCHERS_HPP
#define VANILLAGAUGE_FLEET_WATCHERS_HPP

#include "fleet/membership.hpp"

#include <string>
#include <vector>

namespace vanillagauge::fleet {

/// Up to `count` living VMs, in different failure domains as far as there are. VMs whose watch fails are
/// taken only where no other is left.
std::vector<std::string> choose_watchers(const std::vector<member>& members, std::size_t count);

} // namespace vanillagauge::fleet

#endif
