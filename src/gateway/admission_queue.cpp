#include "gateway/admission_queue.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

error client_left()
{
    return {error_code::cancelled, run_state::not_run, "the client has left"};
}

} // namespace

service_gate::service_gate(net::loop& loop, std::uint64_t seed, policy::pool_options options,
                           policy::queue_patience patience)
    : scheduler_(seed, options, patience), changed_(loop)
{
}

void service_gate::update(const std::vector<target_ref>& targets, time_point now)
{
    std::vector<policy::pool_target> known;
    known.reserve(targets.size());
    for (const auto& entry : targets) {
        known.push_back({entry->info.lifetime(), entry->info.failure_domain, false});
    }
    scheduler_.update(known, now);
    advance();
}

net::task_of<std::string> service_gate::admit(policy::work item)
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
    auto& place = waiting_[id];
    while (!place.outcome) {
        const auto next = scheduler_.next_refusal();
        co_await changed_.wait_until(std::min(next.value_or(deadline), deadline));
        advance();
    }
    auto outcome = std::move(*place.outcome);
    waiting_.erase(id);
    co_return outcome;
}

std::optional<std::string> service_gate::retry(const policy::work& item)
{
    auto taken = scheduler_.retry(item, steady::now());
    if (!taken) {
        return std::nullopt;
    }
    return std::move(taken->target);
}

void service_gate::finish(const std::string& lifetime, const policy::ending_report& report)
{
    scheduler_.finish(lifetime, report, steady::now());
    advance();
}

void service_gate::on_load(const std::string& lifetime, const policy::load_report& load)
{
    scheduler_.on_report(lifetime, load, steady::now());
}

void service_gate::withdraw(std::uint64_t work_id)
{
    const auto found = waiting_.find(work_id);
    if (found != waiting_.end() && !found->second.outcome) {
        found->second.outcome = client_left();
        changed_.notify();
    }
}

// A request that was withdrawn keeps its place in the line; when its turn comes the place goes to the next.
void service_gate::advance()
{
    auto found = scheduler_.advance(steady::now());
    bool woke = false;
    for (auto& refused : found.turned_away) {
        const auto place = waiting_.find(refused.work_id);
        if (place != waiting_.end() && !place->second.outcome) {
            place->second.outcome = std::move(refused.reason);
            woke = true;
        }
    }
    std::vector<std::string> unused;
    for (auto& start : found.started) {
        const auto place = waiting_.find(start.work_id);
        if (place != waiting_.end() && !place->second.outcome) {
            place->second.outcome = std::move(start.target);
            woke = true;
        }
        else {
            unused.push_back(std::move(start.target));
        }
    }
    for (const auto& lifetime : unused) {
        scheduler_.finish(lifetime, {}, steady::now());
    }
    if (woke) {
        changed_.notify();
    }
}

} // namespace vanillagauge::gateway
