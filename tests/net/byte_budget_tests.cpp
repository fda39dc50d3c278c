#include "net/byte_budget.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace vanillagauge::net {
namespace {

constexpr std::size_t large = std::size_t{1} << 20U;
constexpr std::size_t small = small_body_bytes;

TEST(byte_budget, large_bodies_leave_a_quarter_to_small_ones)
{
    byte_budget budget(4 * large);
    EXPECT_TRUE(budget.take(2 * large, 2 * large));
    EXPECT_TRUE(budget.take(large, large));
    EXPECT_FALSE(budget.take(large, large));
    EXPECT_FALSE(budget.take(small + 1, small + 1));
    for (std::size_t taken = 0; taken < large; taken += small) {
        EXPECT_TRUE(budget.take(small, small));
    }
    EXPECT_FALSE(budget.take(1, 1));
    EXPECT_EQ(budget.held(), 4 * large);
}

TEST(byte_budget, what_is_refused_takes_nothing)
{
    byte_budget budget(4 * large);
    EXPECT_FALSE(budget.take(5 * large, 5 * large));
    EXPECT_EQ(budget.held(), 0U);
    EXPECT_TRUE(budget.take(3 * large, 3 * large));
}

TEST(byte_budget, growing_body_counts_as_large_once_it_is)
{
    byte_budget budget(4 * small);
    EXPECT_TRUE(budget.take(3 * small, 3 * small));
    EXPECT_TRUE(budget.take(small / 2, small / 2));
    EXPECT_FALSE(budget.take(small / 2, small + 1));
}

TEST(byte_budget, without_a_total_takes_everything)
{
    byte_budget budget;
    for (int count = 0; count < 1000; ++count) {
        EXPECT_TRUE(budget.take(1000 * large, 1000 * large));
    }
    EXPECT_EQ(budget.expected_wait(large), duration{0});
}

TEST(byte_budget, smaller_total_takes_nothing_until_enough_is_given_back)
{
    byte_budget budget(8 * large);
    EXPECT_TRUE(budget.take(6 * large, 6 * large));
    budget.set_total(4 * large);
    EXPECT_FALSE(budget.take(1, 1));
    budget.give_back(4 * large, milliseconds{10});
    EXPECT_TRUE(budget.take(large, large));
}

TEST(byte_budget, expects_room_as_fast_as_the_last_bodies_gave_it_back)
{
    byte_budget budget(4 * large);
    EXPECT_EQ(budget.expected_wait(large), duration{0});
    for (int count = 0; count < 100; ++count) {
        ASSERT_TRUE(budget.take(2 * large, 2 * large));
        budget.give_back(2 * large, milliseconds{300});
    }
    ASSERT_TRUE(budget.take(3 * large, 3 * large));
    const auto third = budget.expected_wait(large);
    EXPECT_GT(third, milliseconds{95});
    EXPECT_LT(third, milliseconds{105});
    const auto all = budget.expected_wait(3 * large);
    EXPECT_GT(all, milliseconds{290});
    EXPECT_LT(all, milliseconds{310});
}

TEST(byte_budget, expects_room_in_bounded_time)
{
    byte_budget budget(4 * large);
    ASSERT_TRUE(budget.take(3 * large, 3 * large));
    for (int count = 0; count < 100; ++count) {
        budget.take(0, 0);
        budget.give_back(0, milliseconds{0});
    }
    budget.give_back(large, seconds{1000});
    ASSERT_TRUE(budget.take(large, large));
    EXPECT_LE(budget.expected_wait(3 * large), seconds{5});
}

// Guards against budgets that each have room while their sum is more than the process has.
TEST(byte_budget, has_no_room_where_the_whole_has_none)
{
    const auto whole = std::make_shared<byte_budget>(4 * large);
    byte_budget one(4 * large, whole);
    byte_budget other(4 * large, whole);
    EXPECT_TRUE(one.take(2 * large, 2 * large));
    EXPECT_FALSE(other.take(2 * large, 2 * large));
    EXPECT_EQ(other.lacking(2 * large, 2 * large), whole.get());
    EXPECT_EQ(other.held(), 0U);
    EXPECT_GT(other.expected_wait(2 * large), duration{0});
    one.give_back(2 * large, milliseconds{10});
    EXPECT_EQ(whole->held(), 0U);
    EXPECT_TRUE(other.take(2 * large, 2 * large));
}

TEST(byte_reservation, gives_back_a_part)
{
    const auto whole = std::make_shared<byte_budget>(4 * large);
    const auto budget = std::make_shared<byte_budget>(4 * large, whole);
    byte_reservation held(budget);
    ASSERT_TRUE(held.grow_to(2 * large));
    held.shrink_to(large);
    held.shrink_to(3 * large);
    EXPECT_EQ(held.bytes(), large);
    EXPECT_EQ(budget->held(), large);
    EXPECT_EQ(whole->held(), large);
}

// Guards against a single message inside the limits that never has room.
TEST(byte_reservation, has_room_for_anything_where_nothing_is_held)
{
    const auto budget = std::make_shared<byte_budget>(large);
    byte_reservation first(budget);
    byte_reservation second(budget);
    EXPECT_TRUE(first.grow_or_be_first(8 * large));
    EXPECT_FALSE(second.grow_or_be_first(large));
    first.release();
    EXPECT_TRUE(second.grow_or_be_first(2 * large));
    EXPECT_EQ(budget->held(), 2 * large);
}

TEST(byte_reservation, gives_back_all_that_it_grew_to)
{
    const auto budget = std::make_shared<byte_budget>(4 * large);
    {
        byte_reservation held(budget);
        EXPECT_TRUE(held.grow_to(large));
        EXPECT_TRUE(held.grow_to(2 * large));
        EXPECT_TRUE(held.grow_to(large));
        EXPECT_FALSE(held.grow_to(4 * large));
        EXPECT_EQ(budget->held(), 2 * large);
    }
    EXPECT_EQ(budget->held(), 0U);
}

TEST(byte_reservation, without_a_budget_has_room_for_everything)
{
    byte_reservation held(nullptr);
    EXPECT_TRUE(held.grow_to(1000 * large));
}

} // namespace
} // namespace vanillagauge::net
