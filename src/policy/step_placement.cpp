#include "policy/step_placement.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// How far above the mean load an engine may be for the sake of its cached prefix.
constexpr double load_bound = 1.25;
/// Below this share of its limit an engine runs at full speed, whatever the mean is.
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

/// Streams that each engine may hold for a prefix: the mean with one more, and a quarter above.
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

// Load pattern: a step arrives at once, in groups that share one prompt. Spread evenly, every engine computes
// every prompt's prefix; kept by prefix alone, a few long prompts pile up on one engine and the step waits
// for it. So a group goes to the engine that its prefix ranks first, unless that one holds a quarter more
// than the mean and is past a quarter of its limit; then to the next in rank. A quarter is the usual bound
// for hashing with bounded loads: it keeps most groups together while no engine is far behind the others.
// Ranks need no cache events, which come late and with gaps.
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

// Load pattern: several trainers' jobs on the same engines, each able to fill them all. Without shares the
// job that asks first holds every place until its step ends and the others' trainers idle. One place is the
// least, so that a job of small weight still moves.
int job_share(int all_places, int weight, int all_weights)
{
    const std::int64_t share = std::int64_t{all_places} * weight / std::max(1, all_weights);
    return static_cast<int>(std::max<std::int64_t>(1, share));
}

} // namespace vanillagauge::policy
