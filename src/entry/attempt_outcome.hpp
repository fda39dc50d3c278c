/// Classifies the result of an attempt at a target.
#ifndef VANILLAGAUGE_ENTRY_ATTEMPT_OUTCOME_HPP
#define VANILLAGAUGE_ENTRY_ATTEMPT_OUTCOME_HPP

#include "policy/policy.hpp"

namespace vanillagauge::entry {

/// The result as which a failed attempt is reported for its target.
policy::attempt_result attempt_result_of(const error& failure);

/// Whether the request may have crashed the target: the connection broke after the request was sent.
bool looks_like_crash(const error& failure);

/// The state that is more certain to have run, for a request with several attempts.
run_state more_certain(run_state left, run_state right);

} // namespace vanillagauge::entry

#endif
