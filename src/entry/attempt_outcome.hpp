/// What an attempt at a target says of the target and of the request.
#ifndef VANILLAGAUGE_ENTRY_ATTEMPT_OUTCOME_HPP
#define VANILLAGAUGE_ENTRY_ATTEMPT_OUTCOME_HPP

#include "policy/policy.hpp"

namespace vanillagauge::entry {

/// How a failed attempt counts for its target.
policy::attempt_result attempt_result_of(const error& failure);

/// Whether the target may have been lost to the request: the connection broke after the request was sent.
bool looks_like_crash(const error& failure);

/// The more certain to have run of two states, for a request with several attempts.
run_state more_certain(run_state left, run_state right);

} // namespace vanillagauge::entry

#endif
