/// A target's speed and load, learned from its response times and load reports.
#ifndef VANILLAGAUGE_POLICY_TARGET_SPEED_HPP
#define VANILLAGAUGE_POLICY_TARGET_SPEED_HPP

#include "policy/latency_quantile.hpp"
#include "policy/load_hint.hpp"

namespace vanillagauge::policy {

class target_speed {
public:
    /// `own` is the number of this process's requests at the target. Reports older than 500 ms, or older than
    /// the newest one, are ignored.
    void on_report(const load_report& report, int own, time_point now);
    /// Records a response; `own` includes its request, and `slots` is used unless the target reported its
    /// own.
    void on_answer(duration latency, int own, int slots, time_point now);

    /// Median time of a request without waiting; zero before the first response.
    duration work_time() const { return work_.value(); }
    /// The same at the currently reported slowdown; the median without a valid report.
    duration current_work_time(time_point now) const;
    /// Whether the work time is too old to rule the target out: the last response is 20 s old or older.
    bool needs_trial(time_point now) const;
    /// Requests at the target: this process's, and others by a valid report.
    int requests(int own, time_point now) const;
    /// Parallel requests by the newest valid report, or `otherwise`.
    int slots(int otherwise, time_point now) const;

private:
    latency_quantile work_{0.5};
    latency_quantile usual_work_{0.5}; ///< divided by the slowdown reported with each response
    time_point answered_at_;
    double slowdown_ = 1;
    int elsewhere_ = 0;
    int slots_ = 0;
    time_point measured_at_;
    time_point slowdown_at_;

    double slowdown(time_point now) const { return is_valid(slowdown_at_, now) ? slowdown_ : 1; }
    bool is_valid(time_point measured_at, time_point now) const;
};

} // namespace vanillagauge::policy

#endif
