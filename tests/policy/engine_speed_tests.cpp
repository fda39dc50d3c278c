#include "policy/engine_speed.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

TEST(slow_gap_threshold, separates_engines_of_two_speeds)
{
    const auto bound = slow_gap_threshold({38, 39, 38.5, 50, 49, 51, 38, 39.5, 50});
    EXPECT_GT(bound, 39.5);
    EXPECT_LT(bound, 49);
}

TEST(slow_gap_threshold, ignores_many_failing_engines)
{
    const auto bound = slow_gap_threshold({38, 39, 38, 120, 130, 125, 110, 118});
    EXPECT_LT(bound, 60);
}

TEST(slow_gap_threshold, is_zero_with_too_few_measurements)
{
    EXPECT_EQ(slow_gap_threshold({}), 0);
    EXPECT_EQ(slow_gap_threshold({0, 0, 40, 90}), 0);
}

} // namespace
} // namespace vanillagauge::policy
