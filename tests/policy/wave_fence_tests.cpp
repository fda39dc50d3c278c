#include "policy/policy.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

constexpr time_point start{seconds{1000}};

fence_settings settings(const std::string& self, bool enforced)
{
    return {self, enforced, seconds{3}, seconds{5}};
}

/// Acquires a lease that nobody has held before.
wave_fence holder(bool enforced)
{
    wave_fence fence(settings("a", enforced));
    fence.on_view(true, start, start);
    EXPECT_EQ(fence.next(start), fence_action::read);
    fence.on_read("", 0, start);
    EXPECT_EQ(fence.next(start), fence_action::write);
    fence.on_written(1, start);
    return fence;
}

TEST(wave_fence, first_holder_orders_at_once_with_its_version)
{
    for (const bool enforced : {false, true}) {
        EXPECT_EQ(holder(enforced).fencing_token(start), 1U);
    }
}

TEST(wave_fence, requires_selection_by_the_view)
{
    auto fence = holder(true);
    fence.on_view(false, start, start);
    EXPECT_FALSE(fence.fencing_token(start).has_value());
    EXPECT_EQ(fence.next(start + seconds{1}), fence_action::none);
}

// Guards against a holder that resumes after its lease and orders old weights, at engines that ignore fencing
// tokens.
TEST(wave_fence, stops_a_paused_holder_after_its_lease)
{
    auto paused = holder(false);
    EXPECT_TRUE(paused.fencing_token(start + milliseconds{2999}).has_value());
    EXPECT_FALSE(paused.fencing_token(start + seconds{3}).has_value());
    const auto woken = start + seconds{20};
    paused.on_view(true, woken, woken);
    EXPECT_FALSE(paused.fencing_token(woken).has_value());
    ASSERT_EQ(paused.next(woken), fence_action::write);
    paused.on_conflict();
    EXPECT_FALSE(paused.fencing_token(woken).has_value());
}

// Guards against a lease counted from the response: after a pause before it, the holder would exceed the wait
// of its successor.
TEST(wave_fence, counts_the_lease_from_the_write_request)
{
    wave_fence fence(settings("a", false));
    fence.on_view(true, start, start);
    fence.next(start);
    fence.on_read("", 0, start);
    fence.next(start);
    fence.on_written(1, start);
    fence.on_view(true, start + seconds{4}, start + seconds{4});
    EXPECT_FALSE(fence.fencing_token(start + seconds{4}).has_value());
}

TEST(wave_fence, successor_waits_if_tokens_are_ignored)
{
    wave_fence next(settings("b", false));
    next.on_view(true, start, start);
    next.next(start);
    next.on_read("a", 7, start);
    EXPECT_EQ(next.next(start + seconds{7}), fence_action::none);
    const auto after = start + seconds{8};
    next.on_view(true, after, after);
    ASSERT_EQ(next.next(after), fence_action::write);
    next.on_written(8, after);
    EXPECT_EQ(next.fencing_token(after), 8U);
}

TEST(wave_fence, successor_orders_at_once_if_tokens_are_enforced)
{
    wave_fence next(settings("b", true));
    next.on_view(true, start, start);
    next.next(start);
    next.on_read("a", 7, start);
    ASSERT_EQ(next.next(start), fence_action::write);
    next.on_written(8, start);
    EXPECT_EQ(next.fencing_token(start), 8U);
}

// Guards against a store outage that stops all orders: the holder continues with its last token while the
// view is fresh, and a successor, after the wait, with the highest token reported by an engine.
TEST(wave_fence, continues_through_a_store_outage)
{
    auto fence = holder(false);
    const auto later = start + seconds{9};
    fence.on_view(true, later, later);
    fence.next(later);
    fence.on_failed(later);
    EXPECT_EQ(fence.fencing_token(later), 1U);
    EXPECT_FALSE(fence.fencing_token(later + seconds{3}).has_value());

    wave_fence next(settings("b", true));
    next.on_view(true, start, start);
    next.next(start);
    next.on_failed(start);
    next.on_fencing_token(9);
    next.on_view(true, later, later);
    EXPECT_FALSE(next.fencing_token(start + seconds{2}).has_value());
    EXPECT_EQ(next.fencing_token(later), 9U);
}

} // namespace
} // namespace vanillagauge::policy
