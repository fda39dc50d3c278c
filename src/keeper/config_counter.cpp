#include "keeper/config_counter.hpp"

#include "vanillagauge.pb.h"
#include "wire/call.hpp"

#include <algorithm>

namespace vanillagauge::keeper {
namespace {

constexpr milliseconds round_every{200};
constexpr milliseconds ask_timeout{1000};
constexpr milliseconds longest_wait{30000};
/// Questions under way at a time, so that a count over hundreds of nodes opens no hundreds of connections.
constexpr std::size_t most_questions = 16;

} // namespace

/// Touched on the loop's thread only.
struct config_counter::counting {
    config::object_version wanted;
    time_point end;
    on_counted on_done;
    std::set<std::string> holding;
    std::set<std::string> asked;
};

config_counter::config_counter(const keeper_state& state, wire::event_loop& loop, std::string token)
    : state_(state), loop_(loop), token_(std::move(token)), peers_(loop)
{
}

void config_counter::count(const config::object_version& wanted, milliseconds wait, on_counted on_done)
{
    auto job = std::make_shared<counting>();
    job->wanted = wanted;
    job->end = steady::now() + std::min(wait, longest_wait);
    job->on_done = std::move(on_done);
    loop_.post([this, job] { round(job); });
}

void config_counter::round(const std::shared_ptr<counting>& job)
{
    const auto now = steady::now();
    const auto self = state_.self();
    peers_.close_idle(now);
    if (state_.config_version_of(job->wanted.kind, job->wanted.name) >= job->wanted.version) {
        job->holding.insert(self.vm);
    }
    bool whole = true;
    for (const auto& member : state_.members()) {
        const auto& vm = member.info.vm;
        if (member.state != fleet::member_state::alive || job->holding.contains(vm)) {
            continue;
        }
        whole = false;
        if (vm != self.vm && !job->asked.contains(vm) && job->asked.size() < most_questions) {
            ask(job, member.info);
        }
    }
    if (whole || now >= job->end) {
        finish(job);
        return;
    }
    loop_.after(round_every, [this, job] { round(job); });
}

void config_counter::ask(const std::shared_ptr<counting>& job, const fleet::node& peer)
{
    job->asked.insert(peer.vm);
    v1::ConfigHeldRequest request;
    request.set_kind(job->wanted.kind);
    request.set_name(job->wanted.name);
    wire::call_options options;
    options.timeout = ask_timeout;
    options.token = token_;
    const auto channel = peers_.at(peer.peer_address, steady::now());
    wire::call<v1::ConfigHeldReply>(
        *channel, wire::method<v1::KeeperPeer>("ConfigHeld"), request, options,
        [this, job, channel, vm = peer.vm](const result<v1::ConfigHeldReply>& reply) {
            const bool holds = ok(reply) && value(reply).version() >= job->wanted.version;
            loop_.post([job, vm, holds] {
                job->asked.erase(vm);
                if (holds) {
                    job->holding.insert(vm);
                }
            });
        });
}

void config_counter::finish(const std::shared_ptr<counting>& job)
{
    config_spread seen;
    for (const auto& member : state_.members()) {
        if (member.state != fleet::member_state::alive) {
            continue;
        }
        if (job->holding.contains(member.info.vm)) {
            ++seen.holding;
        }
        else {
            seen.missing.push_back(member.info.vm);
        }
    }
    job->on_done(seen);
}

} // namespace vanillagauge::keeper
