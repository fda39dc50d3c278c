#include "policy/scheduler.hpp"
#include "policy/stream_silence.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

const time_point now{seconds(100)};

// Guards against the end of a stream that no other target can continue, while its own still works on it.
TEST(stream_silence, has_no_limit_where_the_stream_cannot_move)
{
    EXPECT_EQ(max_stream_silence({false, milliseconds(50)}), std::nullopt);
    EXPECT_EQ(max_stream_silence({false, seconds(2)}), std::nullopt);
}

// Guards against a move that comes after the caller has left.
TEST(stream_silence, ends_before_the_caller_leaves)
{
    EXPECT_LT(max_stream_silence({true, duration{0}}), seconds(2));
    EXPECT_LT(max_stream_silence({true, milliseconds(500)}), seconds(2));
    EXPECT_LT(max_stream_silence({true, seconds(2)}), seconds(8));
    EXPECT_GT(max_stream_silence({true, seconds(2)}), max_stream_silence({true, seconds(1)}));
}

// Guards against a move away from the only target that has room.
TEST(stream_silence, finds_room_at_another_target_only)
{
    pool_options one_slot{.limited = true, .initial_limit = 1};
    one_slot.adaptive = false;
    scheduler queue(1, one_slot);
    queue.update({{"a", "d1"}, {"b", "d2"}}, now);
    work item;
    item.id = 1;
    item.deadline = now + seconds(10);
    const auto first = queue.acquire(item, now);
    ASSERT_TRUE(first);
    EXPECT_TRUE(queue.may_retry(item, first->target, now));
    auto tried = item;
    tried.tried = {first->target == "a" ? "b" : "a"};
    EXPECT_FALSE(queue.may_retry(tried, first->target, now));
    ASSERT_TRUE(queue.acquire(item, now));
    EXPECT_FALSE(queue.may_retry(item, first->target, now));
    while (queue.retry(item, now)) {
    }
    queue.update({{"a", "d1"}, {"b", "d2"}, {"c", "d1"}}, now);
    EXPECT_TRUE(queue.may_retry(item, first->target, now));
}

// Guards against a move for which there is no retry left.
TEST(stream_silence, stays_without_retry_budget)
{
    scheduler queue(1, {.limited = true, .initial_limit = 100});
    queue.update({{"a", "d1"}, {"b", "d2"}}, now);
    work item;
    item.deadline = now + seconds(10);
    ASSERT_TRUE(queue.may_retry(item, "a", now));
    while (queue.retry(item, now)) {
    }
    EXPECT_FALSE(queue.may_retry(item, "a", now));
    EXPECT_TRUE(queue.may_retry(item, "a", now + seconds(2)));
}

} // namespace
} // namespace vanillagauge::policy
