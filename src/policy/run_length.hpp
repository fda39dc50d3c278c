/// Estimates how much of a generation is left, from the caller's hint and limit.
#ifndef VANILLAGAUGE_POLICY_RUN_LENGTH_HPP
#define VANILLAGAUGE_POLICY_RUN_LENGTH_HPP

#include <optional>

namespace vanillagauge::policy {

/// Lengths in stream events.
struct run_length {
    double generated = 0; ///< so far
    double hint = 0;      ///< the caller's estimate of all; 0: none
    double limit = 0;     ///< most that the caller allows; 0: none
};

/// Events that are left at most, but for few runs; none if nothing bounds them.
std::optional<double> likely_events_left(const run_length& run);

} // namespace vanillagauge::policy

#endif
