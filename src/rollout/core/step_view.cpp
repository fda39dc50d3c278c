#include "rollout/core/step_view.hpp"

#include <algorithm>

namespace vanillagauge::rollout {

policy::step_view step_view_of(const samples::job_state& state, std::size_t free_capacity, time_point now)
{
    policy::step_view step{
        state.shape().slots(), state.filled_slots(state.step()), free_capacity, state.median_rate(), {}};
    const auto running = state.running();
    for (const auto& stream : running) {
        if (stream.slot.step != state.step()) {
            continue;
        }
        const auto streams = std::count_if(running.begin(), running.end(),
                                           [&](const auto& other) { return other.slot == stream.slot; });
        step.streams.push_back({stream.id, stream.so_far.spans.tokens() - stream.resumed_tokens,
                                now - stream.started, now - stream.last_progress, streams > 1,
                                stream.generated});
    }
    return step;
}

} // namespace vanillagauge::rollout
