#include "node/target_group.hpp"

#include <algorithm>
#include <random>

namespace vanillagauge::node {
namespace {

constexpr milliseconds full_retry_after{200};
constexpr milliseconds least_timer{1};

} // namespace

target_group::target_group(config::deployment_spec spec, const policy::pool_options& options,
                           wire::event_loop* loop)
    : options_(options), loop_(loop), spec_(std::move(spec)), scheduler_(std::random_device{}(), options)
{
    take_targets();
}

void target_group::update(const config::deployment_spec& spec)
{
    std::vector<woken> ones;
    {
        const std::lock_guard lock(mutex_);
        spec_ = spec;
        take_targets();
        ones = advance();
    }
    wake(std::move(ones));
}

void target_group::take_targets()
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

void target_group::submit(policy::work item, on_slot ready)
{
    const auto now = steady::now();
    std::unique_lock lock(mutex_);
    item.id = next_id_++;
    const auto id = item.id;
    if (loop_ == nullptr) {
        const auto taken = scheduler_.acquire(item, now);
        auto outcome = taken ? slot_of(*taken)
                             : error{error_code::overloaded, run_state::not_run,
                                     "every target is at its limit", full_retry_after};
        lock.unlock();
        ready(std::move(outcome));
        return;
    }
    const auto decided = scheduler_.submit(std::move(item), now);
    std::vector<woken> ones;
    if (std::holds_alternative<policy::queued>(decided)) {
        ready_[id] = std::move(ready);
        ones = advance(); // others may have had to give way
    }
    else if (const auto* place = std::get_if<policy::placed>(&decided)) {
        ones.push_back({std::move(ready), slot_of(*place)});
    }
    else {
        ones.push_back({std::move(ready), std::get<error>(decided)});
    }
    lock.unlock();
    wake(std::move(ones));
}

std::optional<target_group::slot> target_group::retry(const policy::work& item)
{
    const std::lock_guard lock(mutex_);
    const auto taken = scheduler_.retry(item, steady::now());
    return taken ? std::optional(value(slot_of(*taken))) : std::nullopt;
}

std::optional<target_group::slot> target_group::acquire(const std::string& near_domain,
                                                        const std::set<std::string>& tried)
{
    policy::work item;
    item.near_domain = near_domain;
    item.tried = tried;
    const std::lock_guard lock(mutex_);
    const auto taken = scheduler_.acquire(item, steady::now());
    return taken ? std::optional(value(slot_of(*taken))) : std::nullopt;
}

void target_group::release(const std::string& target_id, const policy::attempt_report& report)
{
    std::vector<woken> ones;
    {
        const std::lock_guard lock(mutex_);
        scheduler_.finish(target_id, report, steady::now());
        ones = advance();
    }
    wake(std::move(ones));
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

std::vector<target_group::slot> target_group::next_to_poll(std::size_t count)
{
    const std::lock_guard lock(mutex_);
    const auto& targets = spec_.targets;
    std::vector<slot> chosen;
    for (std::size_t place = 0; place < std::min(count, targets.size()); ++place) {
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

std::size_t target_group::requests_held() const
{
    const std::lock_guard lock(mutex_);
    return scheduler_.waiting() + static_cast<std::size_t>(scheduler_.pool().in_flight());
}

result<target_group::slot> target_group::slot_of(const policy::placed& place) const
{
    return slot{place.target, addresses_.at(place.target)};
}

std::vector<target_group::woken> target_group::advance()
{
    auto found = scheduler_.advance(steady::now());
    std::vector<woken> ones;
    for (const auto& place : found.started) {
        const auto waiting = ready_.extract(place.work_id);
        ones.push_back({std::move(waiting.mapped()), slot_of(place)});
    }
    for (auto& away : found.refused) {
        const auto waiting = ready_.extract(away.work_id);
        ones.push_back({std::move(waiting.mapped()), std::move(away.reason)});
    }
    arm_timer();
    return ones;
}

// One timer for the group, armed only while requests wait: an idle group costs nothing.
void target_group::arm_timer()
{
    const auto next = scheduler_.next_expiry();
    if (!next || timer_armed_ || loop_ == nullptr) {
        return;
    }
    timer_armed_ = true;
    const auto delay = std::max(least_timer, remaining(steady::now(), *next) + least_timer);
    loop_->after(delay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        std::vector<woken> ones;
        {
            const std::lock_guard lock(self->mutex_);
            self->timer_armed_ = false;
            ones = self->advance();
        }
        wake(std::move(ones));
    });
}

void target_group::wake(std::vector<woken> ones)
{
    for (auto& one : ones) {
        one.ready(std::move(one.outcome));
    }
}

} // namespace vanillagauge::node
