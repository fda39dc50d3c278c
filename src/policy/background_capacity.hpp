/// The share of a replica's concurrency that a gateway uses for background calls.
#ifndef VANILLAGAUGE_POLICY_BACKGROUND_CAPACITY_HPP
#define VANILLAGAUGE_POLICY_BACKGROUND_CAPACITY_HPP

namespace vanillagauge::policy {

/// For a replica with `slots` slots; at least one.
int background_capacity(int slots);

} // namespace vanillagauge::policy

#endif
