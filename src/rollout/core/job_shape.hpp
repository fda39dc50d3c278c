/// Derives the shape of a job's state and the strategy of its weight updates from the job's spec.
#ifndef VANILLAGAUGE_ROLLOUT_CORE_JOB_SHAPE_HPP
#define VANILLAGAUGE_ROLLOUT_CORE_JOB_SHAPE_HPP

#include "config/specs.hpp"
#include "policy/policy.hpp"
#include "samples/samples.hpp"

namespace vanillagauge::rollout {

samples::job_shape shape_of(const config::job_spec& spec);
policy::wave_strategy strategy_of(const config::job_spec& spec);

} // namespace vanillagauge::rollout

#endif
