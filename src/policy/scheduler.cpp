#include "policy/scheduler.hpp"

#include "policy/retry_after.hpp"

#include <algorithm>

namespace vanillagauge::policy {

void scheduler::update(const std::vector<pool_target>& targets, time_point now)
{
    pool_.update(targets, now);
    lost_at_ = pool_.size() > 0 ? std::nullopt : std::optional(lost_at_.value_or(now));
}

void scheduler::on_report(const std::string& target, const load_report& report, time_point now)
{
    pool_.on_report(target, report, now);
}

// Starts immediately only with an empty queue, or the request would overtake queued ones.
decision scheduler::submit(work item, time_point now)
{
    budget_.on_request();
    if (pool_.size() == 0) {
        // An outage that has lasted long is likely to last long.
        const auto back =
            retry_after(now - lost_at_.value_or(now), item.urgency, item.deadline - now, random_);
        return error{error_code::unavailable, run_state::not_run, "the deployment has no usable target",
                     back};
    }
    const auto ahead = queue_.requests_ahead(item);
    if (wait_policy_ == wait_policy::shed_early && !pool_.can_end_in_time(item, ahead, now)) {
        return error{error_code::overloaded, run_state::not_run,
                     "every target's expected wait is longer than the remaining time",
                     full_retry_after(item, now)};
    }
    if (queue_.empty()) {
        if (auto taken = acquire(item, now)) {
            queue_.on_started(item, now);
            return std::move(*taken);
        }
    }
    const auto waits = queue_.push(std::move(item), now);
    if (!ok(waits)) {
        return failure(waits);
    }
    return queued{};
}

std::optional<placed> scheduler::retry(const work& item, time_point now)
{
    if (!unlimited_ && !budget_.take(now)) {
        return std::nullopt;
    }
    return acquire(item, now);
}

bool scheduler::may_retry(const work& item, const std::string& current, time_point now)
{
    return (unlimited_ || !budget_.exhausted(now)) && pool_.has_room_beside(current, item, now);
}

std::optional<placed> scheduler::acquire(const work& item, time_point now)
{
    auto target = pool_.acquire(item, now);
    if (!target) {
        return std::nullopt;
    }
    return placed{item.id, std::move(*target)};
}

void scheduler::finish(const std::string& target, const attempt_report& report, time_point now)
{
    pool_.release(target, report, now);
    queue_.on_finished(now);
}

// The targets free slots at the rate of their work time; the requests that wait here use them first.
milliseconds scheduler::full_retry_after(const work& item, time_point now)
{
    const auto wait = std::max<duration>(pool_.work_time(), queue_.expected_wait(item));
    return retry_after(wait, item.urgency, item.deadline - now, random_);
}

queue_changes scheduler::advance(time_point now)
{
    queue_changes found;
    found.refused = queue_.collect_refused(now);
    while (const auto* next = queue_.front()) {
        auto taken = acquire(*next, now);
        if (!taken) {
            break;
        }
        found.started.push_back(std::move(*taken));
        queue_.on_started(queue_.pop(), now);
    }
    return found;
}

} // namespace vanillagauge::policy
