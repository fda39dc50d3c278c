#include "policy/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace vanillagauge::policy {
namespace {

constexpr double min_limit = 1;
constexpr double max_limit = 512;
/// A window closes once it is this old and has this many samples.
constexpr std::size_t min_samples = 8;
constexpr milliseconds window_time{100};
/// Latency may grow by half before the limit falls: batching and noise on small VMs add as much without a
/// queue at the target.
constexpr double tolerance = 1.5;
/// One window halves the limit at most, so a few good windows make up for a bad one.
constexpr double min_gradient = 0.5;
constexpr double smoothing = 0.3;
constexpr double failure_cut = 0.7;
/// Latency at a lower use says nothing about a higher limit.
constexpr double used_share = 0.75;
constexpr seconds baseline_life{10};
/// A first baseline, or one that a probe lowered by this much, was measured with a queue at the target (the
/// process started under overload): the next probe comes sooner.
constexpr milliseconds suspect_life{500};
constexpr double suspect_share = 0.9;
/// The limit settles near twice the target's parallelism, so a quarter of it leaves no queue; each probe
/// costs about 1% of ten seconds' capacity. With a half, a limit found under overload would fall too slowly.
constexpr double probe_share = 0.25;

} // namespace

// Load pattern: an overloaded target, or one that becomes slower. Without a limit the queue forms inside the
// target, where priorities don't apply and nothing can be refused: all responses are late, many for callers
// that have disconnected. A fixed limit is wrong as soon as a target changes.
//
// The limit follows the ratio of the queue-free latency (`baseline_`) to the current median; the square root
// is the queue allowed in order to discover spare capacity. The median ignores a few long requests among
// short ones. Under steady overload the baseline can't be observed, and an expiring one would creep up with
// the queue; so every ten seconds one window runs at a quarter of the limit, which drains the target's queue,
// and measures the baseline again.
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

/// False for requests sent before the target's queue drained: their latency includes the wait in it.
bool concurrency_limit::belongs_to_probe(duration latency, int in_flight, time_point now)
{
    if (probe_start_ == time_point{} && in_flight <= limit()) {
        probe_start_ = now;
    }
    return probe_start_ != time_point{} && now - latency >= probe_start_;
}

// Decreases at most once a window: otherwise one crash that fails 30 requests would drop the limit to its
// minimum, and the target would recover slowly.
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
