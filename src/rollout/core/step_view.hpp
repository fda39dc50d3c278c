/// The trainer's current step as input of the straggler policy.
#ifndef VANILLAGAUGE_ROLLOUT_CORE_STEP_VIEW_HPP
#define VANILLAGAUGE_ROLLOUT_CORE_STEP_VIEW_HPP

#include "policy/policy.hpp"
#include "samples/samples.hpp"

namespace vanillagauge::rollout {

policy::step_view step_view_of(const samples::job_state& state, std::size_t free_capacity, time_point now);

} // namespace vanillagauge::rollout

#endif
