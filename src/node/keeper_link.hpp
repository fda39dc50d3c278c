/// A program's link to the keeper of its VM: it announces itself and follows configuration and membership.
#ifndef VANILLAGAUGE_NODE_KEEPER_LINK_HPP
#define VANILLAGAUGE_NODE_KEEPER_LINK_HPP

#include "config/replica.hpp"
#include "config/settings.hpp"
#include "fleet/membership.hpp"
#include "wire/event_loop.hpp"
#include "wire/peer_channel.hpp"

#include "vanillagauge.pb.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::node {

/// What a program knows of the fleet. Without its keeper a program goes on with the last view.
struct view {
    config::replica config;
    std::vector<fleet::member> nodes;
    bool draining = false;  ///< this VM is to stop
    time_point updated;     ///< when the keeper last answered
    bool connected = false; ///< the keeper has answered at least once
    bool isolated = false;  ///< this VM reaches few of the others: it should not offer itself to callers
    std::uint64_t fencing_token = 0; ///< 0: this VM holds no lease
    /// By this process's clock. To be compared with the clock again after every wait: whoever was paused
    /// finds here that the lease is over.
    time_point lease_until;
};

class keeper_link {
public:
    keeper_link(wire::event_loop& loop, const config::settings& settings);

    /// Called after each change of the view, on the loop's thread or a channel's.
    void on_change(std::function<void()> handler) { on_change_ = std::move(handler); }
    /// Starts to follow, with what the program says of itself.
    void follow(fleet::process self);
    /// Changes what the program says of itself, and tells the keeper at once.
    void announce(std::function<void(fleet::process&)> change);
    /// Ends following once the keeper knows what was announced, or does not answer; it forgets the program
    /// once that is silent. Not on the loop's thread.
    void stop();

    std::shared_ptr<const view> current() const;
    wire::channel& channel() { return channel_; }
    const std::string& token() const { return token_; }

private:
    wire::event_loop& loop_;
    wire::peer_channel channel_;
    std::string token_;
    std::function<void()> on_change_;
    mutable std::mutex mutex_;
    fleet::process self_;
    std::shared_ptr<const view> view_ = std::make_shared<view>();
    std::uint64_t revision_ = 0;
    std::uint64_t keeper_incarnation_ = 0;
    std::uint64_t members_generation_ = 0;
    bool stopped_ = false;
    std::size_t unacknowledged_ = 0; ///< announcements that the keeper has not answered
    std::condition_variable acknowledged_;

    /// With the lock held.
    v1::FollowRequest make_request() const;
    void poll();
    void send_announcement();
    void poll_later(milliseconds delay);
};

} // namespace vanillagauge::node

#endif
