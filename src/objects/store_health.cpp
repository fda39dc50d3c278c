#include "objects/store_health.hpp"

namespace vanillagauge::objects {
namespace {

/// A hundred times the usual latency of a few milliseconds: warns operators before calls fail.
constexpr milliseconds slow_latency{500};
/// Consecutive failures. Calls are made every few seconds, so an outage is detected within about ten seconds.
constexpr int outage_failures = 3;
constexpr int mean_window = 4;

} // namespace

const char* name(store_state state)
{
    switch (state) {
    case store_state::up:
        return "up";
    case store_state::slow:
        return "slow";
    case store_state::down:
        break;
    }
    return "down";
}

void store_health::record_response(milliseconds latency)
{
    mean_latency_ = has_response_ ? (mean_latency_ * (mean_window - 1) + latency) / mean_window : latency;
    has_response_ = true;
    failures_ = 0;
}

void store_health::record_failure()
{
    ++failures_;
}

store_state store_health::state() const
{
    if (!has_response_ || failures_ >= outage_failures) {
        return store_state::down;
    }
    return failures_ > 0 || mean_latency_ >= slow_latency ? store_state::slow : store_state::up;
}

} // namespace vanillagauge::objects
