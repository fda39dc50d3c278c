#include "node/target_directory.hpp"

#include "observe/log.hpp"

namespace vanillagauge::node {
namespace {

/// Most requests that one entry process keeps in flight at a target.
constexpr int target_limit = 32;

} // namespace

void target_group::update(const config::deployment_spec& spec)
{
    const std::lock_guard lock(mutex_);
    spec_ = spec;
}

std::optional<target_group::slot> target_group::acquire(const std::string& near_domain,
                                                        const std::set<std::string>& tried)
{
    const std::lock_guard lock(mutex_);
    std::vector<policy::candidate> candidates;
    candidates.reserve(spec_.targets.size());
    for (const auto& target : spec_.targets) {
        const bool usable = !target.leaving && !tried.contains(target.id);
        candidates.push_back({target.failure_domain, in_flight_[target.id], target_limit, usable});
    }
    const auto chosen = policy::place(candidates, near_domain, random_);
    if (!chosen) {
        return std::nullopt;
    }
    const auto& target = spec_.targets[*chosen];
    ++in_flight_[target.id];
    return slot{target.id, target.address};
}

void target_group::release(const std::string& target_id)
{
    const std::lock_guard lock(mutex_);
    --in_flight_[target_id];
}

config::target_kind target_group::kind() const
{
    const std::lock_guard lock(mutex_);
    return spec_.kind;
}

milliseconds target_group::default_deadline() const
{
    const std::lock_guard lock(mutex_);
    return spec_.default_deadline;
}

void target_directory::update(const view& view)
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::shared_ptr<target_group>> next;
    for (const auto& item : view.config.list("deployment")) {
        const auto spec = config::parse_deployment(item.name, item.spec_json);
        if (!ok(spec)) {
            observe::log(observe::log_level::error, "deployment_unreadable",
                         {{"detail", failure(spec).detail}});
            continue;
        }
        auto& group = next[item.name];
        const auto held = groups_.find(item.name);
        if (held == groups_.end()) {
            group = std::make_shared<target_group>(value(spec));
            continue;
        }
        group = held->second;
        group->update(value(spec));
    }
    groups_ = std::move(next);
}

std::shared_ptr<target_group> target_directory::find(const std::string& deployment) const
{
    const std::lock_guard lock(mutex_);
    const auto found = groups_.find(deployment);
    return found == groups_.end() ? nullptr : found->second;
}

} // namespace vanillagauge::node
