#include "policy/target_speed.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// VMs become busy and idle again within a second.
constexpr milliseconds report_life{500};
/// Half of each new report: one odd report is damped, and a busy VM is recognised after two.
constexpr double smoothing = 0.5;
/// One request in 20 s checks whether a target that is no longer chosen has become faster.
constexpr seconds work_time_life{20};

} // namespace

// Load pattern: targets that differ permanently in speed, on VMs that are busy for moments. Response times
// tell the first, but too late the second. The reported slowdown tells the second, and may or may not include
// the first. So two medians are kept: as measured, for a target without a valid report; and divided by the
// slowdown reported with each response, which is then multiplied by the current one. A report that is wrong
// by a constant factor cancels out, and a late one has no effect.
void target_speed::on_report(const load_report& report, int own, time_point now)
{
    const auto measured_at = now - std::max(report.age, milliseconds{0});
    if (!is_valid(measured_at, now) || measured_at < measured_at_) {
        return;
    }
    measured_at_ = measured_at;
    elsewhere_ = std::max(0, std::max(0, report.running) + std::max(0, report.waiting) - own);
    slots_ = std::max(0, report.capacity);
    if (!report.slowdown) {
        return;
    }
    const double seen = *report.slowdown;
    slowdown_ = is_valid(slowdown_at_, now) ? slowdown_ + smoothing * (seen - slowdown_) : seen;
    slowdown_at_ = measured_at;
}

// The requests at the target at the end of a request stand for those ahead of it at its start: beyond the
// slots, each full round of them is one work time of waiting. A target that was not chosen for long starts
// anew: otherwise a median learned in a busy moment would keep it unused for many trials.
void target_speed::on_answer(duration latency, int own, int slots, time_point now)
{
    const int parallel = std::max(1, this->slots(slots, now));
    const double rounds = std::max(1.0, static_cast<double>(requests(own, now)) / parallel);
    const auto work = std::chrono::duration_cast<duration>(latency / rounds);
    const auto usual = std::chrono::duration_cast<duration>(work / slowdown(now));
    if (needs_trial(now)) {
        work_ = latency_quantile(0.5);
        usual_work_ = latency_quantile(0.5);
        work_.add(std::min(work, usual)); // the first response may come from a busy moment
    }
    else {
        work_.add(work);
    }
    usual_work_.add(usual);
    answered_at_ = now;
}

duration target_speed::current_work_time(time_point now) const
{
    return is_valid(slowdown_at_, now) ? std::chrono::duration_cast<duration>(usual_work_.value() * slowdown_)
                                       : work_.value();
}

bool target_speed::needs_trial(time_point now) const
{
    return !work_.has_value() || now - answered_at_ >= work_time_life;
}

int target_speed::requests(int own, time_point now) const
{
    return own + (is_valid(measured_at_, now) ? elsewhere_ : 0);
}

int target_speed::slots(int otherwise, time_point now) const
{
    return slots_ > 0 && is_valid(measured_at_, now) ? slots_ : otherwise;
}

bool target_speed::is_valid(time_point measured_at, time_point now) const
{
    return measured_at != time_point{} && now - measured_at <= report_life;
}

} // namespace vanillagauge::policy
