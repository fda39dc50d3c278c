/// Feeds one recorded trace to the pure code and compares each decision with the recorded one.
#ifndef VANILLAGAUGE_TESTS_TRACES_REPLAY_HPP
#define VANILLAGAUGE_TESTS_TRACES_REPLAY_HPP

#include "rollout/core/core.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillagauge::traces {

/// What happened in a trace, counted while it is replayed.
struct outcome {
    nlohmann::json trainer;               ///< what the trainer reported at the recording
    std::vector<std::string> differences; ///< decisions unlike the recorded ones
    std::set<std::pair<std::int64_t, std::size_t>> served;
    int served_again = 0;                 ///< in a second reply, before the cursor acknowledged them
    int served_after_acknowledgement = 0; ///< what must never happen
    int unserved_in_closed_steps = 0;     ///< what must never happen
    int stale_served = 0;                 ///< what must never happen
    int broken = 0;
    int resumed_with_text = 0;
    int raced = 0;
    int interrupted = 0;
    int crossed = 0;
    int store_failures = 0;
    int conflicts = 0;
    int orders_allowed = 0;
    int orders_refused = 0;
    std::map<std::string, int> orders_by_vm;
    int orders_failed = 0;
    std::map<std::string, std::uint64_t> in_force; ///< by engine, as the orders' answers say
    std::uint64_t announced = 0;                   ///< the newest version in a pull
};

outcome replay(const std::string& path);

} // namespace vanillagauge::traces

#endif
