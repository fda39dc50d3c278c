/// A program's connection to the keeper of its VM: announces the program, and follows configuration and
/// membership.
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

/// A program's view of the fleet. While the keeper is unreachable the last view stays in use.
struct view {
    config::replica config;
    std::vector<fleet::member> nodes;
    bool draining = false;           ///< this VM is about to stop
    time_point updated;              ///< when the keeper last answered
    bool connected = false;          ///< the keeper has answered at least once
    bool isolated = false;           ///< this VM reaches few others and should not offer itself to callers
    std::uint64_t fencing_token = 0; ///< 0: this VM holds no lease
    /// By this process's steady clock. Compare it with the clock again after every wait: the lease may have
    /// expired while the process was paused.
    time_point lease_until;
};

class keeper_link {
public:
    keeper_link(wire::event_loop& loop, const config::settings& settings);

    /// Sets the handler called after each change of the view, on the loop's thread or a channel's. Set it
    /// before `follow`.
    void on_change(std::function<void()> handler) { on_change_ = std::move(handler); }
    /// Starts to poll the keeper, with `self` as the program's announced state.
    void follow(fleet::process self);
    /// Changes the announced state and sends it to the keeper at once.
    void announce(std::function<void(fleet::process&)> change);
    /// Stops polling and waits, up to a timeout, until the keeper has acknowledged all announcements. The
    /// keeper removes the program when its polls cease. Must not run on the loop's thread.
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

    /// The caller holds the lock.
    v1::FollowRequest make_request() const;
    void poll();
    void send_announcement();
    void poll_later(milliseconds delay);
};

} // namespace vanillagauge::node

#endif
