#include "objects/store_health.hpp"

namespace vanillagauge::objects {
namespace {

/// The store answers in milliseconds; at a hundred times that, operators should know before anything fails.
constexpr milliseconds slow_answer{500};
/// One lost call is no outage. Calls come every few seconds, so three take at most some ten seconds.
constexpr int outage_failures = 3;
constexpr int memory = 4;

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

void store_health::answered(milliseconds took)
{
    usual_ = heard_ ? (usual_ * (memory - 1) + took) / memory : took;
    heard_ = true;
    failures_ = 0;
}

void store_health::failed()
{
    ++failures_;
}

store_state store_health::state() const
{
    if (!heard_ || failures_ >= outage_failures) {
        return store_state::down;
    }
    return failures_ > 0 || usual_ >= slow_answer ? store_state::slow : store_state::up;
}

} // namespace vanillagauge::objects
