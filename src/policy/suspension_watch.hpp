/// Detects that the machine was suspended: time that the steady clock did not count.
#ifndef VANILLAGAUGE_POLICY_SUSPENSION_WATCH_HPP
#define VANILLAGAUGE_POLICY_SUSPENSION_WATCH_HPP

#include "base/clock.hpp"

#include <optional>

namespace vanillagauge::policy {

class suspension_watch {
public:
    /// Whether the machine was suspended since the last call. Both clocks at one moment; `boot` includes time
    /// in suspension.
    bool was_suspended(time_point steady_now, duration boot)
    {
        const auto gap = boot - steady_now.time_since_epoch();
        const bool suspended = gap_ && gap - *gap_ > min_suspension;
        gap_ = gap;
        return suspended;
    }

private:
    /// The two clocks are not read at the same instant.
    static constexpr milliseconds min_suspension{200};
    std::optional<duration> gap_; ///< between the clocks at the last call
};

} // namespace vanillagauge::policy

#endif
