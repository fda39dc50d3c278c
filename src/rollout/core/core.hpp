/// Side-effect-free parts of vg-rollout: from a job's spec to its state, and from its state to policy inputs.
#ifndef VANILLAGAUGE_ROLLOUT_CORE_CORE_HPP
#define VANILLAGAUGE_ROLLOUT_CORE_CORE_HPP

#include "rollout/core/job_shape.hpp"
#include "rollout/core/step_view.hpp"
#include "rollout/core/stored_records.hpp"

#endif
