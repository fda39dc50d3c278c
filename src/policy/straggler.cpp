#include "policy/straggler.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Racing starts once half of the step is there.
constexpr std::size_t near_end_halves = 1;
/// A stream silent for this long is taken for dead: many times the gap between chunks of a busy engine.
constexpr seconds max_chunk_gap{2};
/// Before this a stream's rate says nothing.
constexpr milliseconds min_elapsed{250};
/// A stream is slow below this share of the typical rate.
constexpr double slow_share = 0.5;

double rate(const stream_view& stream)
{
    const double ran = std::chrono::duration<double>(stream.elapsed).count();
    return ran > 0 ? stream.tokens / ran : 0;
}

} // namespace

// Load pattern: lengths have a heavy tail and engines differ, so a step's last few samples take as long as
// all the others; the trainer idles for them. A stream that has gone silent is resumed elsewhere with its
// text: its engine or the path to it is gone, and waiting for the stream's own timeout costs seconds of a
// step. A slow but living one is raced from its text so far, and the first whole answer wins: cutting it off
// instead would lose if the second engine is slower still. A sample that is merely long gains nothing from
// another engine at the same speed, so only a rate below half of the median counts: closer to the median, the
// copy seldom catches up and its tokens are wasted. Racing waits for the last quarter of the step, when
// engines have room.
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
