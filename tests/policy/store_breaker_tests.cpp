#include "policy/store_breaker.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

// Guards against calls to an absent store that grow with the readers.
TEST(store_breaker, lets_few_calls_through_while_the_store_is_away)
{
    store_breaker breaker;
    const time_point began{seconds(100)};
    int calls = 0;
    for (milliseconds at{0}; at < seconds(5); at += milliseconds(10)) {
        if (breaker.admits(began + at)) {
            ++calls;
            breaker.on_unreachable(began + at);
        }
    }
    EXPECT_LE(calls, 20);
    EXPECT_GE(calls, 10) << "the store's return must be noticed soon";
}

// Guards against calls that pass together because each asks before the first of them has failed.
TEST(store_breaker, lets_one_of_many_waiting_callers_try)
{
    store_breaker breaker;
    const time_point began{seconds(100)};
    breaker.on_unreachable(began);
    int calls = 0;
    for (int caller = 0; caller < 40; ++caller) {
        calls += breaker.admits(began + seconds(1)) ? 1 : 0;
    }
    EXPECT_EQ(calls, 1);
}

// Guards against a trial without an answer that keeps all others away.
TEST(store_breaker, tries_again_while_a_trial_is_under_way)
{
    store_breaker breaker;
    const time_point began{seconds(100)};
    breaker.on_unreachable(began);
    EXPECT_TRUE(breaker.admits(began + seconds(1)));
    EXPECT_TRUE(breaker.admits(began + seconds(2)));
}

TEST(store_breaker, lets_all_calls_through_once_one_was_answered)
{
    store_breaker breaker;
    const time_point now{seconds(100)};
    EXPECT_TRUE(breaker.admits(now));
    breaker.on_unreachable(now);
    EXPECT_FALSE(breaker.admits(now + milliseconds(1)));
    breaker.on_answered();
    EXPECT_TRUE(breaker.admits(now + milliseconds(2)));
}

} // namespace
} // namespace vanillagauge::policy
