#include "policy/retry_budget.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Enough to redo the work of one failed target out of five; amplifies an overload by a fifth at most.
constexpr double share = 0.2;
/// Allows retries for a group with little traffic.
constexpr double per_second = 1;
constexpr double max_tokens = 100;

} // namespace

// Load pattern: targets that fail or slow down under load. Three attempts for each call triple the traffic
// when capacity is lowest, and the overload sustains itself after its cause is gone (retry storm).
void retry_budget::on_request()
{
    tokens_ = std::min(max_tokens, tokens_ + share);
}

double retry_budget::tokens_at(time_point now) const
{
    if (refilled_ == time_point{}) {
        return tokens_;
    }
    const std::chrono::duration<double> passed = now - refilled_;
    return std::min(max_tokens, tokens_ + passed.count() * per_second);
}

bool retry_budget::take(time_point now)
{
    tokens_ = tokens_at(now);
    refilled_ = now;
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

bool retry_is_safe(const error& failure, bool idempotent)
{
    const bool harmless = idempotent || failure.ran == run_state::not_run;
    const bool transient = failure.code == error_code::unavailable ||
                           failure.code == error_code::incomplete || failure.code == error_code::draining ||
                           failure.code == error_code::internal;
    return harmless && transient;
}

} // namespace vanillagauge::policy
