/// How the operator's choices in a job shape its state and its weight swaps.
#ifndef VANILLAGAUGE_ROLLOUT_CORE_JOB_SHAPE_HPP
#define VANILLAGAUGE_ROLLOUT_CORE_JOB_SHAPE_HPP

#include "config/specs.hpp"
#include "policy/policy.hpp"
#include "samples/samples.hpp"

namespace vanillagauge::rollout {

samples::job_shape shape_of(const config::job_spec& spec);
policy::wave_strategy weight_of(const config::job_spec& spec);

} // namespace vanillagauge::rollout

#endif
