/// The time up to which a side has forgotten keys.
#ifndef VANILLAGAUGE_CLAIMS_HORIZON_HPP
#define VANILLAGAUGE_CLAIMS_HORIZON_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace vanillagauge::claims {

/// A wall clock that steps back would make a forgotten key look fresh and unseen: the caller would read "not
/// run" of a call that ran. The horizon only grows, and a key at or before it is expired for good, so each
/// side is right about its own memory whatever its clock does and however far the two clocks differ.
class horizon {
public:
    void advance(std::int64_t wall_ms) { latest_ms_ = std::max(latest_ms_, wall_ms); }
    bool expired(std::int64_t expires_ms) const { return expires_ms <= latest_ms_; }
    std::int64_t wall_ms() const { return latest_ms_; }

private:
    std::int64_t latest_ms_ = std::numeric_limits<std::int64_t>::min();
};

/// A sweep visits every pair, so one for each call would make a call's cost grow with the fleet. Between
/// sweeps the horizon alone decides what has expired; a few keys are only held in memory a little longer.
constexpr std::chrono::milliseconds sweep_interval{250};

} // namespace vanillagauge::claims

#endif
