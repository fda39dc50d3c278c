/// Which gateways watch the store for the fleet, and which gateways the others poll.
#ifndef VANILLAGAUGE_POLICY_FEED_PLAN_HPP
#define VANILLAGAUGE_POLICY_FEED_PLAN_HPP

#include "base/clock.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::policy {

/// How often the objects of a feed change.
enum class feed_pace {
    steady,  ///< seldom, and a change must be in force everywhere soon
    frequent ///< with each step of a trainer
};

/// A gateway's place among those chosen to serve feeds, first the store's watchers, then relays between them
/// and the rest.
class feed_plan {
public:
    /// `chosen`: up to `serving_count` gateways in the order of their rank, the same at every gateway.
    feed_plan(const std::vector<std::string>& chosen, const std::string& self);

    /// The state of this gateway's copy of a feed.
    struct copy {
        bool synced = true; ///< false: none has been received yet
        duration age{0};    ///< since it was last known to be current, or since the start
    };
    /// Whether this gateway asks the store.
    bool watches(feed_pace pace, const copy& known) const;
    /// Whether this gateway serves the feeds to others.
    bool serves() const { return rank_.has_value(); }
    /// The gateways to poll, in the order in which to try them.
    std::vector<std::string> sources() const;
    /// The other gateways among `living`, to poll while those are out of reach, in the order in which to try
    /// them.
    std::vector<std::string> substitutes(const std::vector<std::string>& living) const;
    /// How long a watch of the store waits for a change.
    milliseconds watch_time(feed_pace pace) const;
    /// How long a poll waits for a change.
    milliseconds poll_time() const;

private:
    const std::vector<std::string>& chosen_;
    const std::string& self_;
    std::optional<std::size_t> rank_; ///< none: not chosen

    bool watches_store() const;
    bool confirms() const;
    bool polls_relays() const;
};

/// When something happened at a peer, by this gateway's clock: `age` before the response, which the peer sent
/// `held` after it received the request.
time_point time_at_peer(time_point requested_at, milliseconds held, milliseconds age);

/// How many gateways serve the feeds of a fleet.
std::size_t serving_count(std::size_t gateways);

} // namespace vanillagauge::policy

#endif
