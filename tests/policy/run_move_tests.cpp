#include "policy/run_move.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

constexpr time_point began{seconds{100}};
constexpr time_point due = began + milliseconds{7500};
constexpr double slow_gap_ms = 65;

TEST(likely_events_left, is_bounded_by_hint_and_limit)
{
    EXPECT_EQ(likely_events_left({0, 20, 150}), 50);
    EXPECT_EQ(likely_events_left({10, 20, 150}), 40);
    EXPECT_EQ(likely_events_left({60, 20, 150}), 90) << "longer than the hint: up to the limit";
    EXPECT_EQ(likely_events_left({100, 100, 150}), 50);
    EXPECT_EQ(likely_events_left({160, 100, 150}), 0);
    EXPECT_EQ(likely_events_left({0, 20, 0}), 50);
    EXPECT_FALSE(likely_events_left({0, 0, 0}));
    EXPECT_FALSE(likely_events_left({60, 20, 0}));
}

// Guards against moves of short items, which gain nothing and take the places that long ones need.
TEST(may_miss_due_time, leaves_short_items_on_slow_engines)
{
    EXPECT_FALSE(may_miss_due_time({{0, 20, 150}, slow_gap_ms, due}, began));
    EXPECT_FALSE(may_miss_due_time({{30, 20, 150}, slow_gap_ms, due}, began + seconds{2}));
}

// Guards against a step that is late since its longest item stays on a slow engine.
TEST(may_miss_due_time, moves_long_items_and_those_that_outlast_their_hint)
{
    EXPECT_TRUE(may_miss_due_time({{10, 120, 150}, slow_gap_ms, due}, began + milliseconds{650}));
    EXPECT_TRUE(may_miss_due_time({{55, 20, 150}, slow_gap_ms, due}, began + milliseconds{3600}));
    EXPECT_TRUE(may_miss_due_time({{10, 0, 0}, slow_gap_ms, due}, began + milliseconds{650}));
}

// Guards against a run that stays where it is, on one kind of processor only, as its end is beyond the
// clock's.
TEST(may_miss_due_time, holds_for_lengths_beyond_the_clock)
{
    EXPECT_TRUE(may_miss_due_time({{0, 1e18, 0}, slow_gap_ms, due}, began));
    EXPECT_TRUE(may_miss_due_time({{0, 1e308, 0}, slow_gap_ms, due}, began));
}

} // namespace
} // namespace vanillagauge::policy
