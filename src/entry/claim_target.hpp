/// The way of claimed calls to their targets.
#ifndef VANILLAGAUGE_ENTRY_CLAIM_TARGET_HPP
#define VANILLAGAUGE_ENTRY_CLAIM_TARGET_HPP

#include "entry/claim_calls.hpp"
#include "entry/entry_service.hpp"

namespace vanillagauge::entry {

/// Admission and placement as for any call, behind a guard that lets one attempt reach a target.
claim_runner run_at_targets(const entry_context& context);

} // namespace vanillagauge::entry

#endif
