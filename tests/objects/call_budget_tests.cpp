#include "objects/call_budget.hpp"
#include "objects/store_health.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace vanillagauge::objects {
namespace {

const time_point start = time_point{} + seconds{1};

int calls_made(call_budget& budget, call_priority priority, time_point now, int tries)
{
    int made = 0;
    for (int index = 0; index < tries; ++index) {
        made += budget.try_acquire(priority, now) ? 1 : 0;
    }
    return made;
}

// Guards against status writes that exhaust the budget after an outage, so that leases are not renewed.
TEST(call_budget, status_calls_leave_tokens_for_configuration_and_leases)
{
    call_budget budget;
    EXPECT_GT(calls_made(budget, call_priority::status, start, 1000), 0);
    EXPECT_GT(calls_made(budget, call_priority::config, start, 1000), 0);
    EXPECT_GE(calls_made(budget, call_priority::lease, start, 1000), 4);
    EXPECT_EQ(calls_made(budget, call_priority::lease, start, 1000), 0);
}

TEST(call_budget, the_fleet_stays_within_its_call_rate)
{
    constexpr std::size_t span = 100;
    for (const std::size_t members : {8U, 350U}) {
        call_budget budget;
        budget.set_fleet_size(members);
        int made = 0;
        for (std::size_t second = 0; second < span; ++second) {
            made += calls_made(budget, call_priority::lease, start + seconds{second}, 1000);
        }
        const budget_limits limits;
        const auto fleet = static_cast<double>(made) * static_cast<double>(members);
        const double bound = std::max(limits.fleet_calls_per_second,
                                      limits.min_calls_per_second * static_cast<double>(members));
        EXPECT_LE(fleet, bound * span + limits.burst * static_cast<double>(members));
    }
}

TEST(call_budget, a_rejected_call_succeeds_after_its_retry_after_time)
{
    call_budget budget;
    calls_made(budget, call_priority::status, start, 1000);
    const auto wait = budget.retry_after(call_priority::status);
    EXPECT_GT(wait.count(), 0);
    EXPECT_TRUE(budget.try_acquire(call_priority::status, start + wait));
}

TEST(store_health, distinguishes_a_slow_store_from_an_outage)
{
    store_health health;
    EXPECT_EQ(health.state(), store_state::down) << "no response yet";
    health.record_response(milliseconds{3});
    EXPECT_EQ(health.state(), store_state::up);
    health.record_failure();
    EXPECT_EQ(health.state(), store_state::slow);
    health.record_failure();
    health.record_failure();
    EXPECT_EQ(health.state(), store_state::down);
    health.record_response(milliseconds{1500});
    health.record_response(milliseconds{1500});
    EXPECT_EQ(health.state(), store_state::slow);
}

} // namespace
} // namespace vanillagauge::objects
