/// Which engines make their events clearly more slowly than the others.
#ifndef VANILLAGAUGE_POLICY_ENGINE_SPEED_HPP
#define VANILLAGAUGE_POLICY_ENGINE_SPEED_HPP

#include <vector>

namespace vanillagauge::policy {

/// The mean time between two events of one run, in milliseconds, above which an engine is slow; `gaps` are
/// the engines' own, 0 where not known. 0: too little is known to call any slow.
double slow_gap_threshold(std::vector<double> gaps);

} // namespace vanillagauge::policy

#endif
