/// Which engine takes a sample of a step, and how many a job may have at its deployment's engines.
#ifndef VANILLAGAUGE_POLICY_STEP_PLACEMENT_HPP
#define VANILLAGAUGE_POLICY_STEP_PLACEMENT_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::policy {

struct engine_view {
    std::string id;
    int in_flight = 0;
    int limit = 0;             ///< most streams at once
    std::uint64_t version = 0; ///< of its weights; 0: not known
    bool usable = true;        ///< false: leaving, loading weights, or backing off after a failure
};

struct sample_view {
    std::uint64_t prefix_hash = 0; ///< of the prompt, which a whole group shares
    std::uint64_t min_version = 0;
    std::string avoid; ///< an engine not to use, for a sample that left it
};

/// The index of the engine to use; none where none that would do has room.
std::optional<std::size_t> place_sample(const std::vector<engine_view>& engines, const sample_view& sample);

/// The plain baseline: the next engine with room, in turn.
std::optional<std::size_t> place_round_robin(const std::vector<engine_view>& engines,
                                             const sample_view& sample, std::size_t turn);

/// The most streams of a job beside others, by weight; at least one.
int job_share(int all_places, int weight, int all_weights);

} // namespace vanillagauge::policy

#endif
