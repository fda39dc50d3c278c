/// Rendezvous hashing: a key belongs to the member with the highest hash of member and key.
#ifndef VANILLAGAUGE_FLEET_RENDEZVOUS_HPP
#define VANILLAGAUGE_FLEET_RENDEZVOUS_HPP

#include <string>
#include <vector>

namespace vanillagauge::fleet {

/// The members by their rank as owner of `key`. Removing a member moves only the keys that it owned.
std::vector<std::string> ranked_owners(const std::string& key, std::vector<std::string> members);

} // namespace vanillagauge::fleet

#endif
