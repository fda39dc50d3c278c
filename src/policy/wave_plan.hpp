/// Plans which engines load the newest weights now.
#ifndef VANILLAGAUGE_POLICY_WAVE_PLAN_HPP
#define VANILLAGAUGE_POLICY_WAVE_PLAN_HPP

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillagauge::policy {

struct wave_engine {
    std::string id;
    std::uint64_t version = 0; ///< as reported by the engine; 0: unknown
    int in_flight = 0;
    bool fetch_granted = false;   ///< the weight store has granted the fetch of the version
    bool fetch_requested = false; ///< grant requested
    bool order_pending = false;   ///< a load order is in progress
    bool leaving = false;
    bool reachable = true;
    int failures = 0; ///< consecutive failed load orders
    time_point failed_at{};
};

enum class wave_strategy {
    staleness, ///< minimises stale samples: half of the engines at once
    idle,      ///< minimises idle engines: an eighth at once, the least loaded first
    drain_all, ///< baseline of measurements: drains all engines, then loads all at once
};

struct wave_actions {
    std::vector<std::string> fetch; ///< request these from the weight store
    std::vector<std::string> order; ///< send these a load order
    bool hold_new_work = false;     ///< start nothing on engines with old weights
};

wave_actions plan_wave(const std::vector<wave_engine>& engines, std::uint64_t announced,
                       wave_strategy strategy, time_point now);

/// How many of `able` engines may load at once.
std::size_t max_wave_loads(std::size_t able, wave_strategy strategy);

} // namespace vanillagauge::policy

#endif
