/// Which engines load the newest weights now.
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
    std::uint64_t version = 0; ///< as it reports; 0: not known
    int in_flight = 0;
    bool fetch_granted = false;   ///< its share of the weight store's rate for the version is granted
    bool fetch_requested = false; ///< asked for
    bool order_pending = false;   ///< an order is under way
    bool leaving = false;
    bool reachable = true;
    int failures = 0; ///< orders in a row that failed
    time_point failed_at{};
};

enum class wave_strategy {
    staleness, ///< new weights soon: half of the engines at once
    idle,      ///< engines kept busy: an eighth at once, the least loaded first
    drain_all, ///< the plain baseline: stop all, wait until none runs, load all at once
};

struct wave_actions {
    std::vector<std::string> fetch; ///< ask the weight store for these
    std::vector<std::string> order; ///< order these to load the version
    bool hold_new_work = false;     ///< start nothing on engines that lie behind
};

wave_actions plan_wave(const std::vector<wave_engine>& engines, std::uint64_t announced,
                       wave_strategy strategy, time_point now);

/// How many of the engines that can load may do so at once.
std::size_t max_wave_loads(std::size_t able, wave_strategy strategy);

} // namespace vanillagauge::policy

#endif
