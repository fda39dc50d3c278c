/// Temporarily ejects targets that fail or respond far more slowly than the others.
#ifndef VANILLAGAUGE_POLICY_OUTLIER_EJECTION_HPP
#define VANILLAGAUGE_POLICY_OUTLIER_EJECTION_HPP

#include "base/base.hpp"

#include <cstddef>

namespace vanillagauge::policy {

/// One target's record.
struct target_health {
    int consecutive_failures = 0;
    time_point last_failure{};
    int consecutive_ejections = 0; ///< without a good response in between
    time_point ejected_until;
};

/// Bounds the number of ejected targets of one group.
class outlier_ejection {
public:
    /// Records a response; true if it ejects the target.
    bool on_answer(target_health& target, bool good, std::size_t group_size, time_point now);
    /// Ejects at once, without repeated failures: the target reported that it is draining.
    bool eject(target_health& target, std::size_t group_size, time_point now);
    /// Whether the target is ejected; the first call after the ejection time reinstates it.
    bool is_ejected(target_health& target, time_point now);
    void reinstate(target_health& target);

    std::size_t ejected() const { return ejected_; }

private:
    std::size_t ejected_ = 0;
};

/// Whether the target's last responses were failures. It is not ejected: it gets work that finds no capacity
/// elsewhere, and after a while one trial request.
bool failed_recently(const target_health& target, time_point now);

/// Whether a response is slow enough to count as a failure, by the medians of the target and of its group. A
/// target that is permanently slower than its group is not slow.
bool is_slow(duration latency, duration own_median, duration group_median);

} // namespace vanillagauge::policy

#endif
