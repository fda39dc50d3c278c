#include "policy/scheduler.hpp"

namespace vanillagauge::policy {
namespace {

constexpr milliseconds no_target_retry_after{1000};

} // namespace

void scheduler::on_report(const std::string& target, const load_report& report, time_point now)
{
    pool_.on_report(target, report, now);
}

// Starts immediately only with an empty queue, or the request would overtake queued ones.
decision scheduler::submit(work item, time_point now)
{
    budget_.on_request();
    if (pool_.size() == 0) {
        return error{error_code::unavailable, run_state::not_run, "the deployment has no usable target",
                     no_target_retry_after};
    }
    if (queue_.empty()) {
        if (auto taken = acquire(item, now)) {
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
        queue_.pop();
    }
    return found;
}

} // namespace vanillagauge::policy
