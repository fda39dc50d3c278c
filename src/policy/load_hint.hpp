/// Turns a target's load reports into a bounded, slowly changing factor on its concurrency limit.
#ifndef VANILLAGAUGE_POLICY_LOAD_HINT_HPP
#define VANILLAGAUGE_POLICY_LOAD_HINT_HPP

#include "base/base.hpp"

#include <optional>

namespace vanillagauge::policy {

struct load_report {
    int running = 0;
    int waiting = 0;
    int capacity = 0;
    milliseconds age{0}; ///< age of the measurement, as reported by the target
    /// How long work currently takes, as a multiple of the usual time; none if not reported.
    std::optional<double> slowdown{};
};

class load_hint {
public:
    void on_report(const load_report& report, time_point now);

    /// The fraction of the target's concurrency limit to use, between 0.25 and 1.
    double weight(time_point now) const;
    /// False while a recent report shows a queue at the target.
    bool may_grow(time_point now) const;

private:
    double weight_ = 1;
    bool queueing_ = false;
    time_point measured_at_;
};

} // namespace vanillagauge::policy

#endif
