/// Rendezvous hashing: each thing belongs to the member with the highest hash of both names.
#ifndef VANILLAGAUGE_FLEET_RENDEZVOUS_HPP
#define VANILLAGAUGE_FLEET_RENDEZVOUS_HPP

#include <string>
#include <vector>

namespace vanillagauge::fleet {

/// Members in the order in which they would own `thing`. A member that leaves moves only what it owned.
std::vector<std::string> ranked_owners(const std::string& key, std::vector<std::string> members);

} // namespace vanillagauge::fleet

#endif
