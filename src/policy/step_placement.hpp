/// Placement of a step's samples on engines, and a job's share of the engines' capacity.
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
    int limit = 0;             ///< maximum concurrent streams
    std::uint64_t version = 0; ///< of its weights; 0: unknown
    bool usable = true;        ///< false: draining, loading weights, or backing off after a failure
};

struct sample_view {
    std::uint64_t prefix_hash = 0; ///< of the prompt, shared by the sample's group
    std::uint64_t min_version = 0;
    std::string avoid; ///< engine not to use: the sample was moved off it
};

/// The index of the engine to use; none if no eligible engine has free capacity.
std::optional<std::size_t> place_sample(const std::vector<engine_view>& engines, const sample_view& sample);

/// Baseline: the next eligible engine from `turn` on.
std::optional<std::size_t> place_round_robin(const std::vector<engine_view>& engines,
                                             const sample_view& sample, std::size_t turn);

/// Maximum streams of a job beside others, by weight; at least one.
int job_share(int all_places, int weight, int all_weights);

} // namespace vanillagauge::policy

#endif
