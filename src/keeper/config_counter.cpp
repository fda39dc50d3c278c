#include "keeper/config_counter.hpp"

#include "vanillagauge.pb.h"
#include "wire/call.hpp"

#include <algorithm>

namespace vanillagauge::keeper {
namespace {

constexpr milliseconds poll_interval{200};
constexpr milliseconds query_timeout{1000};
constexpr milliseconds max_wait{30000};
/// Concurrent queries; bounds the connections of a count over hundreds of nodes.
constexpr std::size_t max_queries = 16;

} // namespace

/// Accessed only on the loop's thread.
struct config_counter::pending_count {
    config::object_version wanted;
    time_point end;
    on_counted on_done;
    std::set<std::string> holding;
    std::set<std::string> in_flight;
};

config_counter::config_counter(const keeper_state& state, wire::event_loop& loop, std::string token)
    : state_(state), loop_(loop), token_(std::move(token)), peers_(loop)
{
}

void config_counter::count(const config::object_version& wanted, milliseconds wait, on_counted on_done)
{
    auto pending = std::make_shared<pending_count>();
    pending->wanted = wanted;
    pending->end = steady::now() + std::min(wait, max_wait);
    pending->on_done = std::move(on_done);
    loop_.post([this, pending] { poll(pending); });
}

void config_counter::poll(const std::shared_ptr<pending_count>& pending)
{
    const auto now = steady::now();
    const auto self = state_.self();
    peers_.close_idle(now);
    if (state_.config_version_of(pending->wanted.kind, pending->wanted.name) >= pending->wanted.version) {
        pending->holding.insert(self.vm);
    }
    bool complete = true;
    for (const auto& member : state_.members()) {
        const auto& vm = member.info.vm;
        if (member.state != fleet::member_state::alive || pending->holding.contains(vm)) {
            continue;
        }
        complete = false;
        if (vm != self.vm && !pending->in_flight.contains(vm) && pending->in_flight.size() < max_queries) {
            query(pending, member.info);
        }
    }
    if (complete || now >= pending->end) {
        finish(pending);
        return;
    }
    loop_.after(poll_interval, [this, pending] { poll(pending); });
}

void config_counter::query(const std::shared_ptr<pending_count>& pending, const fleet::node& peer)
{
    pending->in_flight.insert(peer.vm);
    v1::ConfigHeldRequest request;
    request.set_kind(pending->wanted.kind);
    request.set_name(pending->wanted.name);
    wire::call_options options;
    options.timeout = query_timeout;
    options.token = token_;
    const auto channel = peers_.at(peer.peer_address, steady::now());
    wire::call<v1::ConfigHeldReply>(
        *channel, wire::method<v1::KeeperPeer>("ConfigHeld"), request, options,
        [this, pending, channel, vm = peer.vm](const result<v1::ConfigHeldReply>& reply) {
            const bool holds = ok(reply) && value(reply).version() >= pending->wanted.version;
            loop_.post([pending, vm, holds] {
                pending->in_flight.erase(vm);
                if (holds) {
                    pending->holding.insert(vm);
                }
            });
        });
}

void config_counter::finish(const std::shared_ptr<pending_count>& pending)
{
    config_spread seen;
    for (const auto& member : state_.members()) {
        if (member.state != fleet::member_state::alive) {
            continue;
        }
        if (pending->holding.contains(member.info.vm)) {
            ++seen.holding;
        }
        else {
            seen.missing.push_back(member.info.vm);
        }
    }
    pending->on_done(seen);
}

} // namespace vanillagauge::keeper
