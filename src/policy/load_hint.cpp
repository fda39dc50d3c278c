#include "policy/load_hint.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Older reports are ignored: a burst of short calls may start and end within this time.
constexpr seconds report_life{3};
/// Largest change for one report. At two reports a second the full range takes four seconds, longer than the
/// reports' lag, so the effect of a change is visible before the next large one.
constexpr double max_shift = 0.1;
/// A reported overload never cuts off all traffic: the true latency could not be measured any more.
constexpr double min_weight = 0.25;

} // namespace

// Load pattern: late or wrong reports. If they were trusted, all nodes would send their work to an idle
// target at once and withdraw it one report later: load oscillates between targets in bursts. So a report can
// only reduce a target's share, never raise it above what measured latency allows, and only in small steps.
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
