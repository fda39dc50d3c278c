/// The expiry time up to which a process no longer keeps keys.
#ifndef VANILLAGAUGE_CLAIMS_HORIZON_HPP
#define VANILLAGAUGE_CLAIMS_HORIZON_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace vanillagauge::claims {

/// If the wall clock stepped back, a removed key would look valid and unseen, and the caller would be
/// answered "not run" for a call that ran. The horizon is therefore monotonic and a key at or before it stays
/// expired, whatever the clocks of the two processes do.
class horizon {
public:
    void advance(std::int64_t wall_ms) { latest_ms_ = std::max(latest_ms_, wall_ms); }
    bool expired(std::int64_t expires_ms) const { return expires_ms <= latest_ms_; }
    std::int64_t wall_ms() const { return latest_ms_; }

private:
    std::int64_t latest_ms_ = std::numeric_limits<std::int64_t>::min();
};

/// A sweep visits every pair, so a sweep per call would make the cost of a call grow with the fleet. Between
/// sweeps expiry is decided by the horizon; expired keys only stay in memory a little longer.
constexpr std::chrono::milliseconds sweep_interval{250};

} // namespace vanillagauge::claims

#endif
