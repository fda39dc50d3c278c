/// Pauses between the calls that keep a gateway's copies up to date.
#ifndef VANILLAGAUGE_POLICY_FEED_PAUSE_HPP
#define VANILLAGAUGE_POLICY_FEED_PAUSE_HPP

#include "base/clock.hpp"

#include <random>

namespace vanillagauge::policy {

/// Before the next watch of a feed. `changed`: the last one brought a change; `took`: from its request to its
/// end.
duration pause_after_watch(bool changed, duration took, std::mt19937_64& random);

/// Before the next poll of a peer; likewise.
duration pause_after_poll(bool changed, duration took, std::mt19937_64& random);

} // namespace vanillagauge::policy

#endif
