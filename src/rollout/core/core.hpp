/// Pure parts of vg-rollout: how a job's spec shapes its state, and how its state looks to the policies.
#ifndef VANILLAGAUGE_ROLLOUT_CORE_CORE_HPP
#define VANILLAGAUGE_ROLLOUT_CORE_CORE_HPP

#include "rollout/core/job_shape.hpp"
#include "rollout/core/step_view.hpp"

#endif
