/// Decisions under load, without network, clock or thread: time and events in, decisions out.
#ifndef VANILLAGAUGE_POLICY_POLICY_HPP
#define VANILLAGAUGE_POLICY_POLICY_HPP

#include "policy/placement.hpp"
#include "policy/step_placement.hpp"
#include "policy/straggler.hpp"
#include "policy/wave_fence.hpp"
#include "policy/wave_plan.hpp"

#endif
