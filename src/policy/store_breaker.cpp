#include "policy/store_breaker.hpp"

namespace vanillagauge::policy {
namespace {

/// Bounds how late the store's return is noticed here.
constexpr milliseconds pause{250};

} // namespace

// Load pattern: the store is away for seconds while readers of batches ask on. Each read would try it
// directly and through two peers, and so would each owner's attempt to publish: calls that are paid for,
// answer nobody and delay the refusal. One failed try in a while is enough to notice the store's return.
void store_breaker::on_unreachable(time_point now)
{
    closed_until_ = now + pause;
}

} // namespace vanillagauge::policy
