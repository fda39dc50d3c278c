#include "node/target_directory.hpp"

#include "observe/log.hpp"
#include "wire/call.hpp"

#include "target.pb.h"

namespace vanillagauge::node {
namespace {

/// Rollouts pace themselves by job and step; their limit only keeps one process from swamping an engine.
constexpr int rollout_limit = 32;
constexpr milliseconds poll_interval{500};
constexpr milliseconds poll_timeout{400};
/// Of each deployment and round: the reports are hints, and at thousands of targets asking each one would
/// cost more than what it saves.
constexpr std::size_t polled_at_once = 8;

void poll(const std::shared_ptr<target_group>& group, const target_group::slot& target, channel_pool& targets)
{
    const bool is_engine = group->kind() == config::target_kind::engine;
    const auto path =
        is_engine ? wire::method<target::v1::Engine>("Load") : wire::method<target::v1::PlainService>("Load");
    wire::call_options options;
    options.timeout = poll_timeout;
    wire::call<target::v1::LoadReply>(
        *targets.at(target.address), path, target::v1::LoadRequest(), options,
        [group, id = target.id](const result<target::v1::LoadReply>& reply) {
            if (!ok(reply)) {
                return;
            }
            const auto& told = value(reply);
            group->on_report(id,
                             {told.running(), told.waiting(), told.capacity(), milliseconds{told.age_ms()}});
        });
}

} // namespace

target_directory::target_directory() : loop_(nullptr), options_{true, rollout_limit} {}

target_directory::target_directory(wire::event_loop& loop, const policy::pool_options& options)
    : loop_(&loop), options_(options)
{
}

void target_directory::update(const view& view)
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, held_group> next;
    for (const auto& item : view.config.list("deployment")) {
        const auto held = groups_.find(item.name);
        auto group = taken(item, held == groups_.end() ? held_group{} : held->second);
        if (group.group) {
            next[item.name] = std::move(group);
        }
    }
    groups_ = std::move(next);
}

/// A deployment that cannot be read leaves the group as it was: callers are served by what is known.
target_directory::held_group target_directory::taken(const config::object& item, const held_group& held) const
{
    if (held.group && held.version == item.version) {
        return held;
    }
    const auto spec = config::parse_deployment(item.name, item.spec_json);
    if (!ok(spec)) {
        observe::log(observe::log_level::error, "deployment_unreadable", {{"detail", failure(spec).detail}});
        return held;
    }
    if (!held.group) {
        return {item.version, std::make_shared<target_group>(value(spec), options_, loop_)};
    }
    held.group->update(value(spec));
    return {item.version, held.group};
}

std::shared_ptr<target_group> target_directory::find(const std::string& deployment) const
{
    const std::lock_guard lock(mutex_);
    const auto found = groups_.find(deployment);
    return found == groups_.end() ? nullptr : found->second.group;
}

void target_directory::poll_loads(channel_pool& targets)
{
    milliseconds pause{0};
    {
        // Nodes that started together would ask every target at the same moment.
        const std::lock_guard lock(mutex_);
        std::uniform_int_distribution<std::int64_t> draw(poll_interval.count() / 2,
                                                         poll_interval.count() * 3 / 2);
        pause = milliseconds{draw(random_)};
    }
    loop_->after(pause, [this, &targets] {
        poll_round(targets);
        poll_loads(targets);
    });
}

std::size_t target_directory::requests_held() const
{
    std::size_t held = 0;
    for (const auto& group : groups()) {
        held += group->requests_held();
    }
    return held;
}

std::vector<std::shared_ptr<target_group>> target_directory::groups() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<target_group>> all;
    all.reserve(groups_.size());
    for (const auto& [name, held] : groups_) {
        all.push_back(held.group);
    }
    return all;
}

void target_directory::poll_round(channel_pool& targets)
{
    for (const auto& group : groups()) {
        for (const auto& target : group->next_to_poll(polled_at_once)) {
            poll(group, target, targets);
        }
    }
}

} // namespace vanillagauge::node
