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
        if (breaker.allows(began + at)) {
            ++calls;
            breaker.on_unreachable(began + at);
        }
    }
    EXPECT_LE(calls, 20);
    EXPECT_GE(calls, 10) << "the store's return must be noticed soon";
}

TEST(store_breaker, lets_all_calls_through_once_one_was_answered)
{
    store_breaker breaker;
    const time_point now{seconds(100)};
    EXPECT_TRUE(breaker.allows(now));
    breaker.on_unreachable(now);
    EXPECT_FALSE(breaker.allows(now + milliseconds(1)));
    breaker.on_answered();
    EXPECT_TRUE(breaker.allows(now + milliseconds(2)));
}

} // namespace
} // namespace vanillagauge::policy
