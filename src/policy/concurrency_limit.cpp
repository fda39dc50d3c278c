#include "policy/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace vanillagauge::policy {
namespace {

constexpr double min_limit = 1;
constexpr double max_limit = 512;
/// A window closes with this many answers once it is this old.
constexpr std::size_t min_samples = 8;
constexpr milliseconds window_time{100};
/// Latency may grow by half before the limit falls: batching and noise on small VMs cost as much without any
/// queue at the target.
constexpr double tolerance = 1.5;
/// One window never takes away more than half, so that one bad window is mended by a few good ones.
constexpr double min_gradient = 0.5;
constexpr double smoothing = 0.3;
constexpr double failure_cut = 0.7;
/// A limit that is hardly used says nothing about what the target could take.
constexpr double used_share = 0.75;
constexpr seconds baseline_life{10};
/// A first baseline, or one that a probe brought down by this much, was measured with a queue at the target
/// (the process started under overload): the next probe comes sooner.
constexpr milliseconds suspect_life{500};
constexpr double suspect_share = 0.9;
/// A limit settles near twice what the target serves at once, so a quarter of it leaves no queue there; each
/// probe costs about 1% of the capacity of ten seconds. With a half, a limit found under overload would fall
/// too slowly to be of use.
constexpr double probe_share = 0.25;

} // namespace

// Load pattern: more work than a target serves, and a target that becomes slower. Without a limit the queue
// forms inside the target, where no priority holds and nothing can be turned away: every answer is late and
// work is done for callers who have left. A fixed limit is wrong as soon as a target changes.
//
// The limit follows the ratio between the latency without a queue (`baseline_`) and the present median; the
// square root is the queue that we allow in order to find out that a target could take more. The median of a
// window leaves a few long requests among short ones out of account. Under steady overload the baseline could
// never be seen again, and one that was merely forgotten would creep up with the queue; so every ten seconds
// one window runs at a quarter of the limit, which empties the target's queue, and measures the baseline
// afresh.
void concurrency_limit::on_answer(duration latency, int in_flight, bool may_grow, time_point now)
{
    if (probing_ && !belongs_to_probe(latency, in_flight, now)) {
        return;
    }
    if (sample_count_ == 0) {
        window_start_ = now;
    }
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
    window_[sample_count_++] = static_cast<std::uint32_t>(std::clamp<std::int64_t>(micros, 1, UINT32_MAX));
    peak_in_flight_ = std::max(peak_in_flight_, in_flight);
    const bool old_enough = now - window_start_ >= window_time && sample_count_ >= min_samples;
    if (old_enough || sample_count_ == window_samples) {
        close_window(may_grow, now);
    }
}

/// Answers to requests that were sent before the target's queue had shrunk still carry the wait in it.
bool concurrency_limit::belongs_to_probe(duration latency, int in_flight, time_point now)
{
    if (probe_start_ == time_point{} && in_flight <= limit()) {
        probe_start_ = now;
    }
    return probe_start_ != time_point{} && now - latency >= probe_start_;
}

// A burst of failures is one event: without the pause between cuts, 30 requests broken by one crash would
// bring the limit to its least at once, and the target would be slow to come back.
void concurrency_limit::on_failure(time_point now)
{
    if (now - last_decrease_ < window_time) {
        return;
    }
    last_decrease_ = now;
    limit_ = std::max(min_limit, limit_ * failure_cut);
}

int concurrency_limit::limit() const
{
    const double now_allowed = probing_ ? limit_ * probe_share : limit_;
    return static_cast<int>(std::max(min_limit, now_allowed));
}

double concurrency_limit::window_median()
{
    const auto begin = window_.begin();
    const auto middle = begin + static_cast<std::ptrdiff_t>(sample_count_ / 2);
    std::nth_element(begin, middle, begin + static_cast<std::ptrdiff_t>(sample_count_));
    return *middle;
}

void concurrency_limit::close_window(bool may_grow, time_point now)
{
    const double median = window_median();
    const bool probed = std::exchange(probing_, false);
    if (probed) {
        const bool was_high = median < suspect_share * baseline_;
        next_probe_ = now + (was_high ? duration(suspect_life) : duration(baseline_life));
        baseline_ = median;
    }
    else if (baseline_ == 0) {
        baseline_ = median;
        next_probe_ = now + suspect_life;
    }
    else if (now > next_probe_) {
        probing_ = true;
        probe_start_ = {};
    }
    baseline_ = std::min(baseline_, median);
    if (!probed) {
        adjust(median, may_grow);
    }
    sample_count_ = 0;
    peak_in_flight_ = 0;
}

void concurrency_limit::adjust(double median, bool may_grow)
{
    const double gradient = std::clamp(tolerance * baseline_ / median, min_gradient, 1.0);
    const double next = limit_ * gradient + std::sqrt(limit_);
    const bool used = peak_in_flight_ >= used_share * limit_;
    if (next > limit_ && !(used && may_grow)) {
        return;
    }
    limit_ = std::clamp(limit_ + smoothing * (next - limit_), min_limit, max_limit);
}

} // namespace vanillagauge::policy
