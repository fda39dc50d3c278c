#include "policy/store_breaker.hpp"

namespace vanillagauge::policy {
namespace {

/// Bounds how late the store's return is noticed here.
constexpr milliseconds pause{250};

} // namespace

void store_breaker::on_unreachable(time_point now)
{
    away_ = true;
    next_trial_ = now + pause;
}

// Load pattern: the store is away for seconds while readers of batches ask on. Each read would try it
// directly and through two peers, and so would each owner's attempt to publish: calls that are paid for,
// answer nobody and delay the refusal. One failed try in a while is enough to notice the store's return.
// The trial is taken when it begins, not when it fails: otherwise all who ask meanwhile would try too.
bool store_breaker::admits(time_point now)
{
    if (!away_) {
        return true;
    }
    if (now < next_trial_) {
        return false;
    }
    next_trial_ = now + pause;
    return true;
}

} // namespace vanillagauge::policy
