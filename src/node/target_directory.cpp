#include "node/target_directory.hpp"

#include "observe/log.hpp"
#include "wire/call.hpp"

#include "target.pb.h"

namespace vanillagauge::node {
namespace {

/// Rollouts limit themselves by job and step; this only keeps one process from overloading an engine.
constexpr int rollout_limit = 32;
constexpr milliseconds poll_interval{500};
constexpr milliseconds poll_timeout{400};
/// Targets polled per deployment and round: load reports are hints, and polling each of thousands of targets
/// would cost more than it saves.
constexpr std::size_t polls_per_round = 8;

void poll(const std::shared_ptr<target_group>& group, const target_group::endpoint& target,
          channel_pool& targets)
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
            const auto& load = value(reply);
            group->on_report(id,
                             {load.running(), load.waiting(), load.capacity(), milliseconds{load.age_ms()}});
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
    std::map<std::string, versioned_group> next;
    for (const auto& item : view.config.list("deployment")) {
        const auto current = groups_.find(item.name);
        auto group = updated_group(item, current == groups_.end() ? versioned_group{} : current->second);
        if (group.group) {
            next[item.name] = std::move(group);
        }
    }
    groups_ = std::move(next);
}

/// A deployment that cannot be parsed keeps its current group, so that callers are still served.
target_directory::versioned_group target_directory::updated_group(const config::object& item,
                                                                  const versioned_group& current) const
{
    if (current.group && current.version == item.version) {
        return current;
    }
    const auto spec = config::parse_deployment(item.name, item.spec_json);
    if (!ok(spec)) {
        observe::log(observe::log_level::error, "deployment_unreadable", {{"detail", failure(spec).detail}});
        return current;
    }
    if (!current.group) {
        return {item.version, std::make_shared<target_group>(value(spec), options_, loop_)};
    }
    current.group->update(value(spec));
    return {item.version, current.group};
}

std::shared_ptr<target_group> target_directory::find(const std::string& deployment) const
{
    const std::lock_guard lock(mutex_);
    const auto found = groups_.find(deployment);
    return found == groups_.end() ? nullptr : found->second.group;
}

void target_directory::poll_loads(channel_pool& targets)
{
    milliseconds delay{0};
    {
        // Jitter: nodes that started together would otherwise poll every target at the same moment.
        const std::lock_guard lock(mutex_);
        std::uniform_int_distribution<std::int64_t> draw(poll_interval.count() / 2,
                                                         poll_interval.count() * 3 / 2);
        delay = milliseconds{draw(random_)};
    }
    loop_->after(delay, [this, &targets] {
        poll_round(targets);
        poll_loads(targets);
    });
}

std::size_t target_directory::outstanding_requests() const
{
    std::size_t count = 0;
    for (const auto& group : groups()) {
        count += group->outstanding_requests();
    }
    return count;
}

std::vector<std::shared_ptr<target_group>> target_directory::groups() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<target_group>> all;
    all.reserve(groups_.size());
    for (const auto& [name, entry] : groups_) {
        all.push_back(entry.group);
    }
    return all;
}

void target_directory::poll_round(channel_pool& targets)
{
    for (const auto& group : groups()) {
        for (const auto& target : group->next_to_poll(polls_per_round)) {
            poll(group, target, targets);
        }
    }
}

} // namespace vanillagauge::node
