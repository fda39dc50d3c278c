#include "node/keeper_link.hpp"

#include "node/convert.hpp"
#include "wire/call.hpp"

namespace vanillagauge::node {
namespace {

/// The keeper counts a program as stopped after a few such intervals without a request.
constexpr milliseconds follow_wait{500};
constexpr milliseconds follow_timeout{2500};
constexpr milliseconds retry_delay{200};
constexpr milliseconds poll_delay{20};
constexpr milliseconds announce_timeout{500};

std::shared_ptr<view> next_view(const view& before, const v1::FollowReply& reply, time_point requested_at)
{
    auto next = std::make_shared<view>(before);
    for (const auto& entry : reply.entries()) {
        next->config.merge(from_message(entry));
    }
    if (!reply.members_unchanged()) {
        next->nodes.clear();
        for (const auto& status : reply.nodes()) {
            next->nodes.push_back(from_message(status));
        }
    }
    next->isolated = reply.isolated();
    next->fencing_token = reply.lease_fencing();
    // Measured from the request, not the reply: otherwise a reply that waited in a paused process's socket
    // would extend the lease by the pause.
    next->lease_until = requested_at + milliseconds{reply.lease_left_ms()};
    next->draining = reply.draining();
    next->updated = steady::now();
    next->connected = true;
    return next;
}

} // namespace

keeper_link::keeper_link(wire::event_loop& loop, const config::settings& settings)
    : loop_(loop), channel_(loop, settings.keeper.address), token_(settings.tokens.peer)
{
}

void keeper_link::follow(fleet::process self)
{
    {
        const std::lock_guard lock(mutex_);
        self_ = std::move(self);
    }
    poll();
}

void keeper_link::announce(std::function<void(fleet::process&)> change)
{
    {
        const std::lock_guard lock(mutex_);
        change(self_);
        ++unacknowledged_;
    }
    // On the loop, like the polls, so that no request with older state is sent afterwards.
    loop_.post([this] { send_announcement(); });
}

void keeper_link::stop()
{
    std::unique_lock lock(mutex_);
    stopped_ = true;
    acknowledged_.wait_for(lock, announce_timeout, [this] { return unacknowledged_ == 0; });
}

std::shared_ptr<const view> keeper_link::current() const
{
    const std::lock_guard lock(mutex_);
    return view_;
}

void keeper_link::poll_later(milliseconds delay)
{
    loop_.after(delay, [this] { poll(); });
}

v1::FollowRequest keeper_link::make_request() const
{
    v1::FollowRequest request;
    *request.mutable_self() = to_message(self_);
    request.set_since_revision(revision_);
    request.set_keeper_incarnation(keeper_incarnation_);
    request.set_members_generation(members_generation_);
    return request;
}

// The poll in flight carries the older state, and the next one may not be sent before the program ends.
void keeper_link::send_announcement()
{
    v1::FollowRequest request;
    {
        const std::lock_guard lock(mutex_);
        request = make_request();
    }
    wire::call_options options;
    options.timeout = announce_timeout;
    options.token = token_;
    wire::call<v1::FollowReply>(channel_, wire::method<v1::KeeperLocal>("Follow"), request, options,
                                [this](const result<v1::FollowReply>&) {
                                    const std::lock_guard lock(mutex_);
                                    --unacknowledged_;
                                    acknowledged_.notify_all();
                                });
}

void keeper_link::poll()
{
    v1::FollowRequest request;
    {
        const std::lock_guard lock(mutex_);
        if (stopped_) {
            return;
        }
        request = make_request();
    }
    request.set_wait_ms(follow_wait.count());
    wire::call_options options;
    options.timeout = follow_timeout;
    options.token = token_;
    const auto requested_at = steady::now();
    wire::call<v1::FollowReply>(channel_, wire::method<v1::KeeperLocal>("Follow"), request, options,
                                [this, requested_at](const result<v1::FollowReply>& reply) {
                                    if (!ok(reply)) {
                                        poll_later(retry_delay);
                                        return;
                                    }
                                    {
                                        const std::lock_guard lock(mutex_);
                                        view_ = next_view(*view_, value(reply), requested_at);
                                        revision_ = value(reply).revision();
                                        keeper_incarnation_ = value(reply).keeper_incarnation();
                                        members_generation_ = value(reply).members_generation();
                                    }
                                    if (on_change_) {
                                        on_change_();
                                    }
                                    poll_later(poll_delay);
                                });
}

} // namespace vanillagauge::node
