#include "policy/straggler.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Racing starts once half of the step is complete.
constexpr std::size_t near_end_halves = 1;
/// A stream without a chunk for this long is considered dead: many times the gap at a busy engine.
constexpr seconds max_chunk_gap{2};
/// Shorter streams have no meaningful rate.
constexpr milliseconds min_elapsed{250};
/// A stream is slow below this share of the typical rate.
constexpr double slow_share = 0.5;

double rate(const stream_view& stream)
{
    const double ran = std::chrono::duration<double>(stream.elapsed).count();
    return ran > 0 ? stream.tokens / ran : 0;
}

} // namespace

// Load pattern: lengths are heavy-tailed and engines differ, so a step's last few samples take as long as all
// the others, and the trainer idles. A stalled stream is resumed on another engine from its text so far: its
// engine or the connection is lost, and waiting for the stream's timeout costs seconds. A slow one is raced
// by a copy that continues its text so far, and the first to complete wins: cancelling it would lose if the
// second engine is slower still. A sample that is merely long gains nothing on another engine, so only a rate
// below half of the median counts: closer to it, the copy seldom catches up and its tokens are wasted. Racing
// starts after half of the step, when engines have free capacity.
std::vector<straggler_decision> find_stragglers(const step_view& step)
{
    std::vector<straggler_decision> chosen;
    const bool near_end = step.filled * 2 >= step.slots * near_end_halves;
    const double slow = slow_share * step.typical_rate;
    for (const auto& stream : step.streams) {
        if (stream.scoring || stream.raced || chosen.size() >= step.free_capacity) {
            continue;
        }
        if (stream.since_last_chunk >= max_chunk_gap) {
            chosen.push_back({stream.attempt, straggler_action::resume});
        }
        else if (near_end && stream.elapsed >= min_elapsed && rate(stream) < slow) {
            chosen.push_back({stream.attempt, straggler_action::race});
        }
    }
    return chosen;
}

} // namespace vanillagauge::policy
