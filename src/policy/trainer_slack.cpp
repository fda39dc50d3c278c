#include "policy/trainer_slack.hpp"

#include <algorithm>
#include <iterator>

namespace vanillagauge::policy {
namespace {

/// Gaps outside of these are no interval of a trainer: two steps submitted at the start, or a pause.
constexpr seconds min_interval{1};
constexpr seconds max_interval{60};

/// A trainer has few steps open; older ones say nothing about its present schedule.
constexpr std::size_t max_steps = 64;

/// Steps are numbered by clients; intervals of so many still fit into a duration.
constexpr std::uint64_t max_distance = 1'000'000;

duration scaled(duration interval, std::uint64_t steps)
{
    return interval * static_cast<duration::rep>(std::min(steps, max_distance));
}

} // namespace

void trainer_slack::observe(const trainer_batch& batch)
{
    auto& known = trainers_[batch.model];
    const auto higher = known.steps.upper_bound(batch.step);
    if (higher != known.steps.end() && batch.accepted > higher->second.accepted + max_interval) {
        // The trainer has started again from an earlier step.
        known.steps.clear();
    }
    const auto same_or_higher = known.steps.lower_bound(batch.step);
    if (same_or_higher != known.steps.begin() &&
        std::prev(same_or_higher)->second.accepted > batch.accepted + max_interval) {
        return; // From before the trainer started again.
    }
    auto& step = known.steps[batch.step];
    if (batch.accepted < step.accepted) {
        return; // An earlier submission of the step.
    }
    const bool ended = batch.ended || (step.accepted == batch.accepted && step.ended);
    step = {batch.accepted, batch.due, ended};
    if (known.steps.size() > max_steps) {
        known.steps.erase(known.steps.begin());
    }
    reckon(known);
}

// Load pattern: a trainer with two steps at once. One late step followed by one in time leaves a single short
// gap between submissions, which as the smallest interval would show the trainer ever further behind. The
// mean of two gaps is not shortened by that, so a single gap counts only until a third step is known.
void trainer_slack::reckon(trainer& known)
{
    known.interval.reset();
    known.behind = duration{0};
    std::optional<duration> single;
    const auto consider = [](std::optional<duration>& smallest, duration gap) {
        if (gap >= min_interval && gap <= max_interval) {
            smallest = std::min(smallest.value_or(gap), gap);
        }
    };
    for (const auto& [step, times] : known.steps) {
        if (const auto next = known.steps.find(step + 1); next != known.steps.end()) {
            consider(single, next->second.accepted - times.accepted);
        }
        if (const auto second = known.steps.find(step + 2); second != known.steps.end()) {
            consider(known.interval, (second->second.accepted - times.accepted) / 2);
        }
    }
    if (!known.interval) {
        known.interval = single;
    }
    if (!known.interval) {
        return;
    }
    // A trainer's own schedule starts at the step that was submitted earliest for its number.
    const auto& [newest, last] = *known.steps.rbegin();
    for (const auto& [step, times] : known.steps) {
        const auto scheduled = times.accepted + scaled(*known.interval, newest - step);
        known.behind = std::max(known.behind, duration{last.accepted - scheduled});
    }
}

std::optional<duration> trainer_slack::slack(const std::string& model, wall_time now) const
{
    const auto found = trainers_.find(model);
    if (found == trainers_.end() || found->second.steps.empty()) {
        return std::nullopt;
    }
    const auto& known = found->second;
    // A trainer that has failed leaves open steps behind, which must not have the least slack for ever.
    const auto open = std::find_if(known.steps.begin(), known.steps.end(), [now](const auto& step) {
        return !step.second.ended && now <= step.second.due + max_interval;
    });
    if (open != known.steps.end()) {
        return open->second.due - now - known.behind;
    }
    // The trainer submits its next step at any moment. This value does not fall with time, so a trainer that
    // has finished does not come before those that wait.
    const auto& last = known.steps.rbegin()->second;
    return last.due - last.accepted - known.behind;
}

duration trainer_slack::behind(const std::string& model) const
{
    const auto found = trainers_.find(model);
    return found == trainers_.end() ? duration{0} : found->second.behind;
}

std::optional<duration> trainer_slack::interval(const std::string& model) const
{
    const auto found = trainers_.find(model);
    return found == trainers_.end() ? std::nullopt : found->second.interval;
}

// A trainer submits a step when it has announced the version of the same number.
std::optional<duration> trainer_slack::next_version_in(const std::string& model, wall_time now) const
{
    const auto found = trainers_.find(model);
    if (found == trainers_.end() || !found->second.interval) {
        return std::nullopt;
    }
    const auto& known = found->second;
    return std::max(duration{0}, duration{known.steps.rbegin()->second.accepted + *known.interval - now});
}

std::vector<std::string> trainer_slack::models() const
{
    std::vector<std::string> names;
    names.reserve(trainers_.size());
    std::transform(trainers_.begin(), trainers_.end(), std::back_inserter(names),
                   [](const auto& entry) { return entry.first; });
    return names;
}

} // namespace vanillagauge::policy
