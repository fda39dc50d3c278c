#include "policy/stop_plan.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

constexpr milliseconds grace{8000};
const time_point began{seconds(100)};

open_work requests(std::size_t count)
{
    return {count, count, 0};
}

// Guards against an end that is decided while the process still accepts work.
TEST(stop_plan, ends_only_after_a_step_that_accepts_nothing)
{
    stop_plan plan(began, grace);
    EXPECT_EQ(plan.advance(began + seconds(3), {}), stop_step::finish);
    EXPECT_EQ(plan.advance(began + seconds(3), requests(1)), stop_step::finish);
    EXPECT_EQ(plan.advance(began + seconds(3), {}), stop_step::end);
}

// Guards against refusing connections of callers with a cached address.
TEST(stop_plan, serves_while_callers_may_cache_the_address)
{
    stop_plan plan(began, grace);
    EXPECT_EQ(plan.advance(began + seconds(2), {}), stop_step::serve);
    EXPECT_EQ(plan.advance(began + seconds(4), requests(1)), stop_step::serve);
}

// Guards against a busy process that accepts work until its end.
TEST(stop_plan, stops_accepting_in_time_to_finish)
{
    stop_plan plan(began, grace);
    EXPECT_EQ(plan.advance(began + milliseconds(4700), requests(3)), stop_step::serve);
    EXPECT_EQ(plan.advance(began + milliseconds(4900), requests(3)), stop_step::finish);
    EXPECT_EQ(plan.advance(began + milliseconds(6700), requests(3)), stop_step::finish);
    EXPECT_EQ(plan.advance(began + milliseconds(6900), requests(1)), stop_step::give_up);
    EXPECT_EQ(plan.advance(began + milliseconds(6950), requests(1)), stop_step::give_up);
    EXPECT_EQ(plan.advance(began + milliseconds(7200), requests(1)), stop_step::end);
}

TEST(stop_plan, waits_for_batches_until_the_give_up_step)
{
    stop_plan plan(began, grace);
    const open_work batch{0, 0, 1};
    EXPECT_EQ(plan.advance(began + milliseconds(4900), batch), stop_step::finish);
    EXPECT_EQ(plan.advance(began + milliseconds(6700), batch), stop_step::finish);
    EXPECT_EQ(plan.advance(began + milliseconds(6900), batch), stop_step::give_up);
    EXPECT_EQ(plan.advance(began + milliseconds(6950), batch), stop_step::end);
}

TEST(stop_plan, does_not_wait_for_connections_without_requests)
{
    stop_plan plan(began, grace);
    EXPECT_EQ(plan.advance(began + milliseconds(2600), {5, 0, 0}), stop_step::finish);
}

// Guards against accepting a stream whose deadline is after the end of the process.
TEST(stop_plan, accepts_only_streams_that_end_in_time)
{
    const stop_plan plan(began, grace);
    EXPECT_TRUE(plan.accepts(began + seconds(1), began + seconds(20), response_kind::stream));
    EXPECT_TRUE(plan.accepts(began + seconds(3), began + seconds(5), response_kind::stream));
    EXPECT_FALSE(plan.accepts(began + seconds(3), began + seconds(20), response_kind::stream));
}

// Guards against refusing a short request because of its long deadline.
TEST(stop_plan, accepts_short_requests_with_long_deadlines)
{
    const stop_plan plan(began, grace);
    EXPECT_TRUE(plan.accepts(began + milliseconds(5000), began + seconds(60), response_kind::complete));
    EXPECT_FALSE(plan.accepts(began + milliseconds(6500), began + seconds(60), response_kind::complete));
    EXPECT_TRUE(
        plan.accepts(began + milliseconds(6500), began + milliseconds(6600), response_kind::complete));
}

// Guards against a listener that closes at once with a short grace.
TEST(stop_plan, serves_for_part_of_a_short_grace)
{
    stop_plan plan(began, milliseconds(3000));
    EXPECT_EQ(plan.advance(began + milliseconds(500), requests(1)), stop_step::serve);
    EXPECT_EQ(plan.advance(began + milliseconds(1000), requests(1)), stop_step::finish);
}

TEST(stop_plan, ends_within_a_grace_shorter_than_the_reserve)
{
    stop_plan plan(began, milliseconds(500));
    EXPECT_EQ(plan.advance(began, requests(1)), stop_step::finish);
    EXPECT_EQ(plan.advance(began, requests(1)), stop_step::give_up);
    EXPECT_EQ(plan.advance(began + milliseconds(400), requests(1)), stop_step::end);
}

} // namespace
} // namespace vanillagauge::policy
