#include "policy/straggler.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Racing starts once this share of the step is there, in quarters.
constexpr std::size_t near_end_quarters = 3;
/// A stream silent for this long is taken for dead: many times the gap between chunks of a busy engine.
constexpr seconds longest_silence{2};
/// Before this a stream's rate says nothing.
constexpr milliseconds least_history{250};
/// A stream is slow below this share of the median rate.
constexpr double slow_share = 0.5;

double rate(const stream_view& stream)
{
    const double ran = std::chrono::duration<double>(stream.running).count();
    return ran > 0 ? stream.tokens / ran : 0;
}

double median_rate(const std::vector<stream_view>& streams)
{
    std::vector<double> rates;
    for (const auto& stream : streams) {
        if (!stream.scoring && stream.running >= least_history) {
            rates.push_back(rate(stream));
        }
    }
    if (rates.empty()) {
        return 0;
    }
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
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
std::vector<straggler_decision> stragglers(const step_view& step)
{
    std::vector<straggler_decision> chosen;
    const bool near_end = step.filled * 4 >= step.slots * near_end_quarters;
    const double slow = slow_share * median_rate(step.streams);
    for (const auto& stream : step.streams) {
        if (stream.scoring || stream.raced || chosen.size() >= step.free_places) {
            continue;
        }
        if (stream.silent >= longest_silence) {
            chosen.push_back({stream.attempt, straggler_action::resume});
        }
        else if (near_end && stream.running >= least_history && rate(stream) < slow) {
            chosen.push_back({stream.attempt, straggler_action::race});
        }
    }
    return chosen;
}

} // namespace vanillagauge::policy
