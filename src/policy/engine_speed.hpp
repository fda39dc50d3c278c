/// Detects engines that generate clearly more slowly than the others.
#ifndef VANILLAGAUGE_POLICY_ENGINE_SPEED_HPP
#define VANILLAGAUGE_POLICY_ENGINE_SPEED_HPP

#include <vector>

namespace vanillagauge::policy {

/// The mean time between two events of a run, in milliseconds, above which an engine is slow; 0 with too few
/// measurements. `gaps`: each engine's own mean, 0 where not measured.
double slow_gap_threshold(std::vector<double> gaps);

} // namespace vanillagauge::policy

#endif
