/// Decides whether a run is moved to a faster engine.
#ifndef VANILLAGAUGE_POLICY_RUN_MOVE_HPP
#define VANILLAGAUGE_POLICY_RUN_MOVE_HPP

#include "base/clock.hpp"
#include "policy/run_length.hpp"

namespace vanillagauge::policy {

struct run_view {
    run_length length;
    double gap_ms = 0; ///< between two events at its engine
    time_point due{};  ///< of its batch's results
};

/// Whether the run may be late where it is.
bool may_miss_due_time(const run_view& run, time_point now);

} // namespace vanillagauge::policy

#endif
