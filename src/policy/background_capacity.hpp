/// How many places of a replica a gateway takes for calls that no caller waits for.
#ifndef VANILLAGAUGE_POLICY_BACKGROUND_CAPACITY_HPP
#define VANILLAGAUGE_POLICY_BACKGROUND_CAPACITY_HPP

namespace vanillagauge::policy {

/// Of a replica with so many slots; at least one.
int background_capacity(int slots);

} // namespace vanillagauge::policy

#endif
