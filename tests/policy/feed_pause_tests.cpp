#include "policy/copy_age.hpp"
#include "policy/feed_pause.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanillagauge::policy {
namespace {

// Guards against a watch that ends at once and is asked again at once.
TEST(feed_pause, keeps_an_interval_between_calls_that_bring_nothing)
{
    std::mt19937_64 random{1};
    std::set<duration> watch_pauses;
    for (int draw = 0; draw < 1000; ++draw) {
        for (const milliseconds took : {milliseconds{0}, milliseconds{40}, milliseconds{200}}) {
            const auto pause = pause_after_watch(false, took, random);
            EXPECT_GE(took + pause, coalescing_delay);
            EXPECT_LE(took + pause, confirming_watch_time);
            watch_pauses.insert(took + pause);
        }
        const auto pause = pause_after_poll(false, milliseconds{1}, random);
        EXPECT_GE(pause, milliseconds{40});
        EXPECT_LT(pause, serving_poll_time);
    }
    EXPECT_GT(watch_pauses.size(), 50U) << "gateways that were turned away together come back together";
}

// Guards against a healthy store whose answers are read later than before.
TEST(feed_pause, is_none_after_a_call_that_was_held)
{
    std::mt19937_64 random{1};
    for (const auto held : {confirming_watch_time, frequent_watch_time, pending_watch_time}) {
        EXPECT_EQ(pause_after_watch(false, held, random), duration{0});
    }
    for (const auto held : {serving_poll_time, poll_time_of_others}) {
        EXPECT_EQ(pause_after_poll(false, held, random), duration{0});
        EXPECT_EQ(pause_after_poll(true, held, random), duration{0});
    }
}

TEST(feed_pause, lets_one_call_return_a_burst_of_changes)
{
    std::mt19937_64 random{1};
    EXPECT_EQ(pause_after_watch(true, milliseconds{0}, random), coalescing_delay);
    EXPECT_EQ(pause_after_watch(true, pending_watch_time, random), coalescing_delay);
    EXPECT_GT(pause_after_poll(true, milliseconds{1}, random), duration{0});
}

} // namespace
} // namespace vanillagauge::policy
