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
    void on_answered() { closed_until_ = time_point{}; }
    /// Whether to make a call now; otherwise it has failed without having run.
    bool allows(time_point now) const { return now >= closed_until_; }

private:
    time_point closed_until_{};
};

} // namespace vanillagauge::policy

#endif
