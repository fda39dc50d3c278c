#include "policy/publish_plan.hpp"

namespace vanillagauge::policy {
namespace {

/// While the trainer still waits for further groups. Each write costs a call to the store and ends a call of
/// each reader; texts under way are saved separately, so nothing is lost with the owner.
constexpr milliseconds early_interval{1500};
/// Trainers read about twice a second.
constexpr milliseconds late_interval{400};
/// The trainer's clock started with its first attempt, which may have been refused, and it still has to read.
constexpr milliseconds late_phase{2500};

} // namespace

// Load pattern: many trainers, each with a batch that completes a group every few hundred milliseconds. A
// trainer goes on only once it has read all the groups that it wants, so earlier writes serve nobody; the one
// that completes the last wanted group must not wait. Near the due time groups count singly, even if the
// others will be late.
bool should_publish(const publish_view& batch, time_point now)
{
    if (batch.results == 0) {
        return false;
    }
    if (batch.published + batch.results >= batch.total) {
        return true;
    }
    if (batch.complete_groups <= batch.published_groups) {
        return false;
    }
    const bool completes_wanted =
        batch.complete_groups >= batch.wanted_groups && batch.published_groups < batch.wanted_groups;
    if (completes_wanted) {
        return true;
    }
    const bool late = batch.published_groups >= batch.wanted_groups || now + late_phase >= batch.due;
    return now - batch.last_publish >= (late ? late_interval : early_interval);
}

} // namespace vanillagauge::policy
