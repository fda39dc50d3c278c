/// Stops calls to a store that has just failed on all ways to it.
#ifndef VANILLAGAUGE_POLICY_STORE_BREAKER_HPP
#define VANILLAGAUGE_POLICY_STORE_BREAKER_HPP

#include "base/clock.hpp"

namespace vanillagauge::policy {

class store_breaker {
public:
    /// A call failed directly and through peers.
    void on_unreachable(time_point now);
    /// Any way to the store works.
    void on_answered() { away_ = false; }
    /// Whether the last call failed on all ways.
    bool away() const { return away_; }
    /// Whether to make a call now; otherwise it has failed without having run. While the store is away one
    /// caller in each pause may try it.
    bool admits(time_point now);

private:
    bool away_ = false;
    time_point next_trial_{};
};

} // namespace vanillagauge::policy

#endif
