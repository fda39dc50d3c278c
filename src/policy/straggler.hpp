/// What to do with the last samples of a step: leave them, go on elsewhere, or race them.
#ifndef VANILLAGAUGE_POLICY_STRAGGLER_HPP
#define VANILLAGAUGE_POLICY_STRAGGLER_HPP

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace vanillagauge::policy {

struct stream_view {
    std::uint64_t attempt = 0;
    int tokens = 0;              ///< made by this stream
    duration elapsed{};          ///< since it started
    duration since_last_chunk{}; ///< since its last chunk
    bool raced = false;          ///< another stream of its slot runs
    bool scoring = false;
};

enum class straggler_action { resume, race };

struct straggler_decision {
    std::uint64_t attempt = 0;
    straggler_action action = straggler_action::race;
};

struct step_view {
    std::size_t slots = 0;
    std::size_t filled = 0;
    std::size_t free_capacity = 0; ///< at engines that would do
    double typical_rate = 0;       ///< tokens a second of streams that ended whole lately; 0: not known
    std::vector<stream_view> streams;
};

std::vector<straggler_decision> find_stragglers(const step_view& step);

} // namespace vanillagauge::policy

#endif
