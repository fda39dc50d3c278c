#include "entry/load_announcer.hpp"

#include <algorithm>
#include <cmath>

namespace vanillagauge::entry {
namespace {

/// Callers keep their advice for five seconds, so faster news would not move them.
constexpr milliseconds interval{2000};
constexpr double smoothing = 0.3;
/// Below this many requests entries count as equally idle.
constexpr double idle_requests = 8;

} // namespace

// Each change of what a VM says of itself spreads to every VM. Steps of a factor of two of a smoothed load
// make such changes rare, and keep callers from moving to and fro for small differences.
double load_step(double requests)
{
    return std::floor(std::log2(std::max(1.0, requests / idle_requests)));
}

void load_announcer::start()
{
    context_.loop.after(interval, [this] {
        smoothed_ += smoothing * (static_cast<double>(context_.directory.outstanding_requests()) - smoothed_);
        const double step = load_step(smoothed_);
        if (step != announced_) {
            announced_ = step;
            context_.keeper.announce([step](fleet::process& self) { self.load = step; });
        }
        start();
    });
}

} // namespace vanillagauge::entry
