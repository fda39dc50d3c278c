#include "entry/load_announcer.hpp"

#include <algorithm>
#include <cmath>

namespace vanillagauge::entry {
namespace {

/// Callers keep advice for up to five seconds, so faster updates would have no effect.
constexpr milliseconds interval{2000};
constexpr double smoothing = 0.3;
/// Entries with fewer requests count as equally idle.
constexpr double idle_requests = 8;

} // namespace

// Each announcement is gossiped to every VM. Doubling steps of a smoothed load keep announcements rare and
// keep callers from switching entries over small differences.
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
