/// Lets a call run at targets at most once, even if its driver retries or hedges.
#ifndef VANILLAGAUGE_ENTRY_CLAIM_RUN_GUARD_HPP
#define VANILLAGAUGE_ENTRY_CLAIM_RUN_GUARD_HPP

#include "node/channel_pool.hpp"

#include <memory>

namespace vanillagauge::entry {

/// Channels to targets for one call that must not run twice. Each attempt uses a fresh connection; a further
/// attempt fails with `cancelled` and `not_run` unless every earlier one ended with `not_run`. `targets` must
/// outlive the pool.
std::shared_ptr<node::channel_pool> guarded_channels(node::channel_pool& targets);

} // namespace vanillagauge::entry

#endif
