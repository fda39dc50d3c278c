#include "policy/publish_plan.hpp"

namespace vanillagauge::policy {
namespace {

/// While the trainer still waits for further groups. Each write costs a call to the store and ends a call of
/// each reader; texts under way are saved separately, so nothing is lost with the owner.
constexpr milliseconds early_interval{1500};
/// Near the due time. A trainer that has got results reads again half a second later, so that shorter
/// intervals keep it from reading when its last wanted group is complete.
constexpr milliseconds late_interval{1000};
/// The trainer's clock started with its first attempt, which may have been refused, and it still has to read.
constexpr milliseconds late_phase{2500};
/// Longer than a trainer pauses between two reads.
constexpr milliseconds hold_time{700};
/// After the due time results still count for a moment. What is complete then is published for the last read.
constexpr milliseconds last_read_time{350};

/// Whether a write began before the time, which has come.
bool passes(const publish_view& batch, time_point at, time_point now)
{
    return batch.last_publish < at && now >= at;
}

// Load pattern: long steps whose last wanted group completes just before or after the due time. A trainer
// that is given results in the moments before pauses, reads the last group half a second late, and falls
// behind with each step. So results are held if the wanted groups are sure to be complete within a pause, and
// in time.
bool holds_for_wanted(const publish_view& batch, time_point now)
{
    const bool waits = batch.complete_groups < batch.wanted_groups && batch.wanted_by;
    if (!waits || *batch.wanted_by > now + hold_time) {
        return false;
    }
    const auto last_read = batch.due + last_read_time;
    return *batch.wanted_by <= last_read || now > last_read;
}

} // namespace

// Load pattern: many trainers, each with a batch that completes a group every few hundred milliseconds. A
// trainer goes on only once it has read all the groups that it wants, so earlier writes serve nobody; the one
// that completes the last wanted group must not wait. Near the due time groups count singly, even if the
// others will be late: what is complete is published when it is due, and once more for the last read in time.
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
    if (holds_for_wanted(batch, now)) {
        return false;
    }
    if (passes(batch, batch.due, now) || passes(batch, batch.due + last_read_time, now)) {
        return true;
    }
    const bool late = batch.published_groups >= batch.wanted_groups || now + late_phase >= batch.due;
    return now - batch.last_publish >= (late ? late_interval : early_interval);
}

} // namespace vanillagauge::policy
