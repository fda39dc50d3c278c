#include "rollout/core/job_shape.hpp"

#include <algorithm>

namespace vanillagauge::rollout {

// The trainer publishes about one version per step, so a step generated k steps ahead is k versions old at
// its pull. `idle` avoids idle trainers: it uses the full staleness bound, and some samples expire.
// `staleness` uses half of it, rounded up, and at most one step of lookahead.
samples::job_shape shape_of(const config::job_spec& spec)
{
    const bool idle = spec.preference == config::job_preference::idle;
    samples::job_shape shape;
    shape.job = spec.name;
    shape.group_size = static_cast<std::size_t>(spec.group_size);
    shape.groups = static_cast<std::size_t>(spec.groups_per_step);
    shape.max_staleness = spec.max_staleness;
    shape.planned_staleness = idle ? spec.max_staleness : (spec.max_staleness + 1) / 2;
    shape.lookahead = idle ? spec.max_staleness : std::min(spec.max_staleness, 1);
    if (spec.plain) {
        shape.lookahead = 0;
        shape.full_steps_only = true;
    }
    return shape;
}

policy::wave_strategy strategy_of(const config::job_spec& job)
{
    if (job.plain) {
        return policy::wave_strategy::drain_all;
    }
    return job.preference == config::job_preference::idle ? policy::wave_strategy::idle
                                                          : policy::wave_strategy::staleness;
}

} // namespace vanillagauge::rollout
