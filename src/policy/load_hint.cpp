#include "policy/load_hint.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// What is older says nothing of the present: a burst of short calls comes and goes within this time.
constexpr seconds report_life{3};
/// One report moves the share by at most this much: at two reports a second the full way takes four seconds,
/// longer than reports lag, so the effect of a shift shows in the reports before the next large one.
constexpr double max_shift = 0.1;
/// A target is never starved on its own word, or its true latency could not be seen any more.
constexpr double min_weight = 0.25;

} // namespace

// Load pattern: reports that come late or are wrong. Taken at their word, "idle" draws every node's work to
// one target at once and, a report later, away again: load swings between targets and each swing is a burst.
// So a report can only hold a target back, never attract work beyond what its answers earn, and it moves the
// share in small steps.
void load_hint::on_report(const load_report& report, time_point now)
{
    if (report.age > report_life || report.capacity <= 0) {
        return;
    }
    const int load = std::max(0, report.running) + std::max(0, report.waiting);
    queueing_ = load > report.capacity;
    const double wanted = queueing_ ? static_cast<double>(report.capacity) / load : 1.0;
    const double from = weight(now);
    weight_ = std::clamp(wanted, from - max_shift, from + max_shift);
    weight_ = std::clamp(weight_, min_weight, 1.0);
    measured_at_ = now - report.age;
}

double load_hint::weight(time_point now) const
{
    return now - measured_at_ > report_life ? 1.0 : weight_;
}

bool load_hint::may_grow(time_point now) const
{
    return !queueing_ || now - measured_at_ > report_life;
}

} // namespace vanillagauge::policy
