/// Decides which run is moved to a faster engine.
#ifndef VANILLAGAUGE_POLICY_RUN_MOVE_HPP
#define VANILLAGAUGE_POLICY_RUN_MOVE_HPP

#include "policy/finish_placement.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace vanillagauge::policy {

/// A run of an item that its step needs.
struct run_view {
    std::size_t engine = 0; ///< index of the engine where it runs
    double events_left = 0; ///< likely, at most; zero or below: unknown
    bool movable = true;    ///< false: it has just begun
};

/// Until the run ends where it is, with the gaps of `known_gaps`.
fractional_ms run_end(const std::vector<finish_engine>& engines, const std::vector<fractional_ms>& gaps,
                      const run_view& run);

/// The index of the run to move so that the step ends clearly sooner; none if no move achieves that. `runs`:
/// all runs that the step needs.
std::optional<std::size_t> choose_move(const std::vector<finish_engine>& engines, std::uint64_t min_version,
                                       std::vector<run_view> runs);

} // namespace vanillagauge::policy

#endif
