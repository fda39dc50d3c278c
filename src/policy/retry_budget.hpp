/// How many second attempts, retries and hedges together, a group may make.
#ifndef VANILLAGAUGE_POLICY_RETRY_BUDGET_HPP
#define VANILLAGAUGE_POLICY_RETRY_BUDGET_HPP

#include "base/base.hpp"

namespace vanillagauge::policy {

class retry_budget {
public:
    /// A first attempt was made.
    void on_request();
    /// Takes one retry out of the budget; false where none is left.
    bool take(time_point now);

private:
    double tokens_ = 10;
    time_point refilled_;
};

/// Whether a failure may be answered by another attempt at all, whatever the budget.
bool retry_is_safe(const error& failure, bool idempotent);

} // namespace vanillagauge::policy

#endif
