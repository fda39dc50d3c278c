#include "gateway/admission_queue.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

error client_left()
{
    return {error_code::cancelled, run_state::not_run, "the client has left"};
}

} // namespace

admission_queue::admission_queue(net::loop& loop, std::uint64_t seed, policy::pool_options options,
                                 policy::wait_policy wait_policy)
    : scheduler_(seed, options, wait_policy), changed_(loop)
{
}

void admission_queue::update(const std::vector<target_ref>& targets, time_point now)
{
    std::vector<policy::pool_target> known;
    known.reserve(targets.size());
    for (const auto& entry : targets) {
        known.push_back({entry->info.instance_id(), entry->info.failure_domain, false});
    }
    scheduler_.update(known, now);
    advance();
}

net::task_of<std::string> admission_queue::admit(policy::work item)
{
    const auto id = item.id;
    const auto deadline = item.deadline;
    auto decided = scheduler_.submit(std::move(item), steady::now());
    if (auto* at = std::get_if<policy::placed>(&decided)) {
        co_return std::move(at->target);
    }
    if (auto* refused = std::get_if<error>(&decided)) {
        co_return std::move(*refused);
    }
    auto& waiting = waiters_[id];
    while (!waiting.outcome) {
        const auto next = scheduler_.next_expiry();
        co_await changed_.wait_until(std::min(next.value_or(deadline), deadline));
        advance();
    }
    auto outcome = std::move(*waiting.outcome);
    waiters_.erase(id);
    co_return outcome;
}

std::optional<std::string> admission_queue::retry(const policy::work& item)
{
    auto taken = scheduler_.retry(item, steady::now());
    if (!taken) {
        return std::nullopt;
    }
    return std::move(taken->target);
}

void admission_queue::finish(const std::string& instance_id, const policy::attempt_report& report)
{
    scheduler_.finish(instance_id, report, steady::now());
    advance();
}

void admission_queue::on_load(const std::string& instance_id, const policy::load_report& load)
{
    scheduler_.on_report(instance_id, load, steady::now());
}

void admission_queue::cancel(std::uint64_t work_id)
{
    const auto found = waiters_.find(work_id);
    if (found != waiters_.end() && !found->second.outcome) {
        found->second.outcome = client_left();
        changed_.notify();
    }
}

// A cancelled request stays in the queue; capacity granted to it is released for the next one.
void admission_queue::advance()
{
    auto found = scheduler_.advance(steady::now());
    bool notified = false;
    for (auto& refused : found.refused) {
        const auto waiting = waiters_.find(refused.work_id);
        if (waiting != waiters_.end() && !waiting->second.outcome) {
            waiting->second.outcome = std::move(refused.reason);
            notified = true;
        }
    }
    std::vector<std::string> unused;
    for (auto& start : found.started) {
        const auto waiting = waiters_.find(start.work_id);
        if (waiting != waiters_.end() && !waiting->second.outcome) {
            waiting->second.outcome = std::move(start.target);
            notified = true;
        }
        else {
            unused.push_back(std::move(start.target));
        }
    }
    for (const auto& instance_id : unused) {
        scheduler_.finish(instance_id, {}, steady::now());
    }
    if (notified) {
        changed_.notify();
    }
}

} // namespace vanillagauge::gateway
