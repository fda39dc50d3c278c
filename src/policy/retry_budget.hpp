/// Token bucket that bounds the retries and hedges of a group.
#ifndef VANILLAGAUGE_POLICY_RETRY_BUDGET_HPP
#define VANILLAGAUGE_POLICY_RETRY_BUDGET_HPP

#include "base/base.hpp"

namespace vanillagauge::policy {

class retry_budget {
public:
    /// Records a first attempt.
    void on_request();
    /// Consumes one retry; false if the budget is exhausted.
    bool take(time_point now);
    bool exhausted(time_point now) const { return tokens_at(now) < 1; }

private:
    double tokens_ = 10;
    time_point refilled_;

    double tokens_at(time_point now) const;
};

/// Whether a failed request may be retried at all, whatever the budget.
bool retry_is_safe(const error& failure, bool idempotent);

} // namespace vanillagauge::policy

#endif
