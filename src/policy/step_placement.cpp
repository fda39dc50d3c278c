#include "policy/step_placement.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// An engine may have this multiple of the mean load for prefix affinity.
constexpr double load_bound = 1.25;
/// Up to a quarter of its limit an engine runs at full speed, whatever the mean load.
constexpr int free_share = 4;

bool is_eligible(const engine_view& engine, const sample_view& sample)
{
    const bool fresh = engine.version >= sample.min_version;
    return engine.usable && fresh && engine.in_flight < engine.limit && engine.id != sample.avoid;
}

std::vector<std::size_t> eligible_engines(const std::vector<engine_view>& engines, const sample_view& sample)
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (is_eligible(engines[index], sample)) {
            found.push_back(index);
        }
    }
    return found;
}

/// Bound on the load of an engine for prefix affinity: 1.25 times the mean, including the new stream.
double bounded_load(const std::vector<engine_view>& engines, const std::vector<std::size_t>& usable)
{
    double sum = 1;
    for (const auto index : usable) {
        sum += engines[index].in_flight;
    }
    return load_bound * sum / static_cast<double>(usable.size());
}

std::uint64_t rendezvous_score(const engine_view& engine, std::uint64_t prefix_hash)
{
    return hash64(engine.id, prefix_hash);
}

} // namespace

// Load pattern: a step arrives at once, in groups that share a prompt. Spread evenly, every engine computes
// every prefix; placed by prefix alone, a few long prompts overload one engine and the step waits for it. So
// rendezvous hashing with bounded loads: a group goes to the engine ranked first for its prefix, unless that
// engine's load is over 1.25 times the mean and over a quarter of its limit; then to the next in rank. The
// usual bound of 1.25 keeps most groups together. Ranking needs no cache events, which are late and
// incomplete.
std::optional<std::size_t> place_sample(const std::vector<engine_view>& engines, const sample_view& sample)
{
    const auto usable = eligible_engines(engines, sample);
    if (usable.empty()) {
        return std::nullopt;
    }
    const double bound = bounded_load(engines, usable);
    std::optional<std::size_t> best;
    for (const auto index : usable) {
        const int load = engines[index].in_flight + 1;
        const bool allowed = load <= bound || load * free_share <= engines[index].limit;
        if (allowed && (!best || rendezvous_score(engines[index], sample.prefix_hash) >
                                     rendezvous_score(engines[*best], sample.prefix_hash))) {
            best = index;
        }
    }
    if (best) {
        return best;
    }
    return *std::min_element(usable.begin(), usable.end(), [&](std::size_t left, std::size_t right) {
        return engines[left].in_flight < engines[right].in_flight;
    });
}

std::optional<std::size_t> place_round_robin(const std::vector<engine_view>& engines,
                                             const sample_view& sample, std::size_t turn)
{
    for (std::size_t step = 0; step < engines.size(); ++step) {
        const std::size_t index = (turn + step) % engines.size();
        if (is_eligible(engines[index], sample)) {
            return index;
        }
    }
    return std::nullopt;
}

// Load pattern: several jobs on the same engines, each able to fill them all. Without shares the first job
// occupies all capacity until its step ends while the other trainers idle. The minimum of one lets a job of
// small weight make progress.
int job_share(int all_places, int weight, int all_weights)
{
    const std::int64_t share = std::int64_t{all_places} * weight / std::max(1, all_weights);
    return static_cast<int>(std::max<std::int64_t>(1, share));
}

} // namespace vanillagauge::policy
