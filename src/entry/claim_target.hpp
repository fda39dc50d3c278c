/// Runs claimed calls at their targets.
#ifndef VANILLAGAUGE_ENTRY_CLAIM_TARGET_HPP
#define VANILLAGAUGE_ENTRY_CLAIM_TARGET_HPP

#include "entry/claim_calls.hpp"
#include "entry/entry_service.hpp"

namespace vanillagauge::entry {

/// Admits and places calls as usual; a guard lets at most one attempt reach a target.
claim_runner run_at_targets(const entry_context& context);

} // namespace vanillagauge::entry

#endif
