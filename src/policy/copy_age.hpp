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

/// A pending watch does not tell an idle store from one that is out of reach or whose answer was lost: TCP
/// keep-alive takes some three seconds to notice a dead connection, and never notices a store that is silent
/// on a live one. An answer on another connection proves nothing about the watch. So the first watcher sends
/// short watches, each of which confirms its copy by its own answer; the others take its confirmations.
constexpr milliseconds confirming_watch_time{400};
/// Of the other watchers, for whom the store counts a watch as one call however long it waits.
constexpr milliseconds pending_watch_time{20000};
/// Of a feed whose changes are not bounded in time.
constexpr milliseconds frequent_watch_time{1400};
/// A watch is lost if its answer has not come this long after its wait.
constexpr milliseconds watch_margin{450};
/// A watcher whose copy is older no longer waits for its pending watch and lists the objects itself.
constexpr milliseconds max_pending_age{850};

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
constexpr milliseconds max_served_frequent_age{2100};

/// For scheduling, and for calls between machines of one region.
constexpr milliseconds hop_allowance{30};

/// A gateway whose copy is older asks the store itself. Above the age of a copy in calm times, so that only
/// the watchers ask then.
constexpr milliseconds refresh_age{1350};
constexpr milliseconds frequent_refresh_age{2600};
/// The same at the watchers other than the first, which alone watches the frequent feeds.
constexpr milliseconds standby_refresh_age{2200};

/// The store's answer to that is awaited this long.
constexpr milliseconds refresh_timeout{450};

/// No request is sent by an older copy, unless the store has been asked in vain.
constexpr milliseconds max_copy_age{1800};

constexpr milliseconds calm_age_at_first_watcher = confirming_watch_time + 2 * hop_allowance;
/// At the other watchers; in large fleets, where all watchers confirm, at the relays.
constexpr milliseconds calm_age_at_server = calm_age_at_first_watcher + serving_poll_time + hop_allowance;
constexpr milliseconds calm_age = calm_age_at_server + poll_time_of_others + hop_allowance;

static_assert(calm_age < refresh_age);
static_assert(calm_age_at_server < max_pending_age);
static_assert(max_pending_age < max_served_age);
static_assert(confirming_watch_time + watch_margin + hop_allowance < max_served_age);
static_assert(frequent_watch_time + watch_margin + hop_allowance < max_served_frequent_age);
// First watcher, standby watcher, relay; then a follower.
static_assert(frequent_watch_time + 2 * serving_poll_time + 4 * hop_allowance < max_served_frequent_age);
static_assert(frequent_watch_time + 2 * serving_poll_time + poll_time_of_others + 5 * hop_allowance <
              frequent_refresh_age);
static_assert(max_served_frequent_age < standby_refresh_age && standby_refresh_age < frequent_refresh_age);
static_assert(refresh_age + refresh_timeout <= max_copy_age);
static_assert(max_copy_age + hop_allowance < max_change_time);

} // namespace vanillagauge::policy

#endif
