/// Which targets get no work for a while because they fail or answer far more slowly than the rest.
#ifndef VANILLAGAUGE_POLICY_OUTLIER_EJECTION_HPP
#define VANILLAGAUGE_POLICY_OUTLIER_EJECTION_HPP

#include "base/base.hpp"

#include <cstddef>

namespace vanillagauge::policy {

/// One target's record.
struct target_health {
    int consecutive_failures = 0;
    time_point last_failure{};
    int consecutive_ejections = 0; ///< in a row, without a good spell between them
    time_point ejected_until;
};

/// The group's count of ejected targets and the bound on it.
class outlier_ejection {
public:
    /// Counts an answer; true where the target is ejected by it.
    bool on_answer(target_health& target, bool good, std::size_t group_size, time_point now);
    /// Ejects without waiting for a row of failures: the target itself said that it is stopping.
    bool eject(target_health& target, std::size_t group_size, time_point now);
    /// Whether the target is out; the first question after its time takes it back.
    bool is_ejected(target_health& target, time_point now);
    void reinstate(target_health& target);

    std::size_t ejected() const { return ejected_; }

private:
    std::size_t ejected_ = 0;
};

/// Whether the target just failed several times in a row. It is not out: work goes there that finds no room
/// elsewhere, and after a while one request to see whether it has recovered.
bool failed_recently(const target_health& target, time_point now);

/// Whether an answer counts as bad for being slow.
bool is_slow(duration latency, duration group_median);

} // namespace vanillagauge::policy

#endif
