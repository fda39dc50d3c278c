#include "objects/store_health.hpp"

namespace vanillagauge::objects {
namespace {

/// The store answers in milliseconds; at a hundred times that, operators should know before anything fails.
constexpr milliseconds slow_latency{500};
/// One lost call is no outage. Calls come every few seconds, so three take at most some ten seconds.
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
