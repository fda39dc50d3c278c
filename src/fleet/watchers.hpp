/// Selects the VMs that watch the store for the whole fleet.
#ifndef VANILLAGAUGE_FLEET_WATCHERS_HPP
#define VANILLAGAUGE_FLEET_WATCHERS_HPP

#include "fleet/membership.hpp"

#include <string>
#include <vector>

namespace vanillagauge::fleet {

/// Up to `count` live VMs, in different failure domains where possible. VMs whose watch fails are selected
/// only if there is no other.
std::vector<std::string> choose_watchers(const std::vector<member>& members, std::size_t count);

} // namespace vanillagauge::fleet

#endif
