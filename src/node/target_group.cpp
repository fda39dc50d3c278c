#include "node/target_group.hpp"

#include <algorithm>
#include <random>

namespace vanillagauge::node {
namespace {

constexpr milliseconds full_retry_after{200};
constexpr milliseconds min_timer_delay{1};

} // namespace

target_group::target_group(config::deployment_spec spec, const policy::pool_options& options,
                           wire::event_loop* loop)
    : options_(options), loop_(loop), spec_(std::move(spec)), scheduler_(std::random_device{}(), options)
{
    update_targets();
}

void target_group::update(const config::deployment_spec& spec)
{
    std::vector<notification> notifications;
    {
        const std::lock_guard lock(mutex_);
        spec_ = spec;
        update_targets();
        notifications = advance();
    }
    notify(std::move(notifications));
}

void target_group::update_targets()
{
    addresses_.clear();
    std::vector<policy::pool_target> targets;
    targets.reserve(spec_.targets.size());
    for (const auto& target : spec_.targets) {
        targets.push_back({target.id, target.failure_domain, target.leaving});
        addresses_[target.id] = target.address;
    }
    scheduler_.update(targets, steady::now());
}

void target_group::submit(policy::work item, on_placed completion)
{
    const auto now = steady::now();
    std::unique_lock lock(mutex_);
    item.id = next_id_++;
    const auto id = item.id;
    if (loop_ == nullptr) {
        const auto placed = scheduler_.acquire(item, now);
        auto outcome = placed ? endpoint_of(*placed)
                              : error{error_code::overloaded, run_state::not_run,
                                      "every target is at its limit", full_retry_after};
        lock.unlock();
        completion(std::move(outcome));
        return;
    }
    const auto decided = scheduler_.submit(std::move(item), now);
    std::vector<notification> notifications;
    if (std::holds_alternative<policy::queued>(decided)) {
        waiting_[id] = std::move(completion);
        notifications = advance(); // others may have been evicted for it
    }
    else if (const auto* placed = std::get_if<policy::placed>(&decided)) {
        notifications.push_back({std::move(completion), endpoint_of(*placed)});
    }
    else {
        notifications.push_back({std::move(completion), std::get<error>(decided)});
    }
    lock.unlock();
    notify(std::move(notifications));
}

std::optional<target_group::endpoint> target_group::retry(const policy::work& item)
{
    const std::lock_guard lock(mutex_);
    const auto placed = scheduler_.retry(item, steady::now());
    return placed ? std::optional(value(endpoint_of(*placed))) : std::nullopt;
}

std::optional<target_group::endpoint> target_group::acquire(const std::string& near_domain,
                                                            const std::set<std::string>& tried)
{
    policy::work item;
    item.near_domain = near_domain;
    item.tried = tried;
    const std::lock_guard lock(mutex_);
    const auto placed = scheduler_.acquire(item, steady::now());
    return placed ? std::optional(value(endpoint_of(*placed))) : std::nullopt;
}

void target_group::release(const std::string& target_id, const policy::attempt_report& report)
{
    std::vector<notification> notifications;
    {
        const std::lock_guard lock(mutex_);
        scheduler_.finish(target_id, report, steady::now());
        notifications = advance();
    }
    notify(std::move(notifications));
}

void target_group::on_report(const std::string& target_id, const policy::load_report& report)
{
    const std::lock_guard lock(mutex_);
    scheduler_.on_report(target_id, report, steady::now());
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

std::vector<target_group::endpoint> target_group::next_to_poll(std::size_t count)
{
    const std::lock_guard lock(mutex_);
    const auto& targets = spec_.targets;
    std::vector<endpoint> chosen;
    for (std::size_t index = 0; index < std::min(count, targets.size()); ++index) {
        const auto& target = targets[next_poll_++ % targets.size()];
        chosen.push_back({target.id, target.address});
    }
    return chosen;
}

milliseconds target_group::hedge_delay() const
{
    const std::lock_guard lock(mutex_);
    return std::chrono::ceil<milliseconds>(scheduler_.pool().hedge_delay());
}

std::size_t target_group::outstanding_requests() const
{
    const std::lock_guard lock(mutex_);
    return scheduler_.waiting() + static_cast<std::size_t>(scheduler_.pool().in_flight());
}

result<target_group::endpoint> target_group::endpoint_of(const policy::placed& placed) const
{
    return endpoint{placed.target, addresses_.at(placed.target)};
}

std::vector<target_group::notification> target_group::advance()
{
    auto found = scheduler_.advance(steady::now());
    std::vector<notification> notifications;
    for (const auto& placed : found.started) {
        const auto waiting = waiting_.extract(placed.work_id);
        notifications.push_back({std::move(waiting.mapped()), endpoint_of(placed)});
    }
    for (auto& refused : found.refused) {
        const auto waiting = waiting_.extract(refused.work_id);
        notifications.push_back({std::move(waiting.mapped()), std::move(refused.reason)});
    }
    arm_timer();
    return notifications;
}

// One timer per group, armed only while requests wait, so that an idle group costs nothing.
void target_group::arm_timer()
{
    const auto next = scheduler_.next_expiry();
    if (!next || timer_armed_ || loop_ == nullptr) {
        return;
    }
    timer_armed_ = true;
    const auto delay =
        std::max(min_timer_delay, milliseconds_between(steady::now(), *next) + min_timer_delay);
    loop_->after(delay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        std::vector<notification> notifications;
        {
            const std::lock_guard lock(self->mutex_);
            self->timer_armed_ = false;
            notifications = self->advance();
        }
        notify(std::move(notifications));
    });
}

void target_group::notify(std::vector<notification> notifications)
{
    for (auto& item : notifications) {
        item.completion(std::move(item.outcome));
    }
}

} // namespace vanillagauge::node
