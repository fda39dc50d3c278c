/// Times that bound how old a gateway's copy of the store's objects may be while it is in use.
///
/// Way of a change: store, watch, watching gateway, poll (large fleets: relay, poll), gateway, choice of a
/// replica. The bound of the whole way is that of the last part: a copy counts its age from the sending of
/// the last call of which the store's answer is in it, whoever made that call.
#ifndef VANILLAGAUGE_POLICY_COPY_AGE_HPP
#define VANILLAGAUGE_POLICY_COPY_AGE_HPP

#include "base/clock.hpp"

namespace vanillagauge::policy {

/// A change that the store has acknowledged must be in force within this time at every gateway that reaches
/// the store or one that does.
constexpr milliseconds max_change_time{2000};

/// A pending watch does not tell an idle store from one that is out of reach: TCP keep-alive takes some
/// three seconds to notice a dead connection, and never notices a store that is silent on a live one. So
/// the gateways that watch ping the store; the answer confirms a watch that had reached the store before.
constexpr milliseconds ping_interval{250};
constexpr milliseconds ping_timeout{500};

/// Pause between two watches, so that one call returns a burst of changes.
constexpr milliseconds coalescing_delay{200};

/// How long a poll waits for a change, at gateways that serve others and at the rest.
constexpr milliseconds serving_poll_time{250};
constexpr milliseconds poll_time_of_others{500};

/// A response to a poll is missing if it has not come this long after the poll's wait.
constexpr milliseconds poll_margin{400};

/// After a source did not answer and the copy is old, other gateways are polled for this long before the next
/// source is tried: each poll in vain takes a poll's time, during which the copy ages.
constexpr milliseconds source_retry_interval{2000};

/// An older copy is not served to peers.
constexpr milliseconds max_served_age{1000};

/// For scheduling, and for calls between machines of one region.
constexpr milliseconds hop_allowance{30};

/// A gateway whose copy is older asks the store itself. Above the age of a copy in calm times, so that only
/// the watchers ask then.
constexpr milliseconds refresh_age{1100};
/// Behind a relay.
constexpr milliseconds relayed_refresh_age{1350};

/// The store's answer to that is awaited this long.
constexpr milliseconds refresh_timeout{450};

/// No request is sent by an older copy, unless the store has been asked in vain.
constexpr milliseconds max_copy_age{1800};

constexpr milliseconds calm_age_at_watcher = ping_interval + coalescing_delay + 2 * hop_allowance;
constexpr milliseconds calm_age = calm_age_at_watcher + poll_time_of_others + hop_allowance;
constexpr milliseconds calm_age_behind_relay = calm_age + serving_poll_time + hop_allowance;

static_assert(calm_age < refresh_age);
static_assert(calm_age_behind_relay < relayed_refresh_age);
static_assert(ping_interval + ping_timeout < max_served_age);
static_assert(relayed_refresh_age + refresh_timeout <= max_copy_age);
static_assert(max_copy_age + hop_allowance < max_change_time);

} // namespace vanillagauge::policy

#endif
