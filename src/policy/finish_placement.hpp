/// Chooses which waiting items of a step start now, and where, by their expected ends.
#ifndef VANILLAGAUGE_POLICY_FINISH_PLACEMENT_HPP
#define VANILLAGAUGE_POLICY_FINISH_PLACEMENT_HPP

#include "base/clock.hpp"
#include "policy/needed_groups.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillagauge::policy {

using fractional_ms = std::chrono::duration<double, std::milli>;

struct finish_engine {
    std::string id;
    int streams = 0;                  ///< running there now
    int free_places = 0;              ///< for further streams
    fractional_ms gap{};              ///< between two events of a stream now; zero or below: unknown
    duration gap_age{};               ///< since the last measurement of the gap
    double prompt_tokens_per_ms = 0;  ///< 0: unknown
    duration pause{};                 ///< until it takes runs again and continues its own
    std::vector<duration> run_ends{}; ///< until the runs there end, as far as known; without the pause
    std::uint64_t version = 0;        ///< of its weights
    bool usable = true;
};

struct finish_item {
    std::uint64_t prefix_hash = 0; ///< of the prompt, shared by the item's group
    group_need need = group_need::needed;
    double events_left = 0;        ///< expected; zero or below: unknown
    double likely_events_left = 0; ///< at most, but for few items; zero or below: not bounded
    double prompt_tokens = 0;      ///< 0: unknown
    std::string avoid{};           ///< engine to use only if no other can take the item
};

struct finish_step {
    std::vector<finish_item> items; ///< waiting
    std::uint64_t min_version = 0;
    duration horizon{}; ///< until the last running item that the step needs ends
};

struct item_start {
    std::size_t item = 0;
    std::size_t engine = 0;
    fractional_ms ends_in{}; ///< expected
};

struct finish_plan {
    std::vector<item_start> starts;     ///< in the order of precedence
    std::size_t waiting_for_faster = 0; ///< items that end sooner on a faster engine that is full now
    std::size_t without_place = 0;      ///< items for which no usable engine has room
};

/// The gaps of the engines, with the median of the known ones where a gap is unknown, or is large and was
/// measured long ago; 50 ms if none is known.
std::vector<fractional_ms> known_gaps(const std::vector<finish_engine>& engines);

/// The time between two events with `streams` streams at an engine that has `gap` with `streams_now`.
fractional_ms gap_with_streams(fractional_ms gap, int streams_now, int streams);

/// Equal inputs give equal plans. Costs O((engines + items) log engines).
finish_plan plan_starts(const std::vector<finish_engine>& engines, const finish_step& step);

} // namespace vanillagauge::policy

#endif
