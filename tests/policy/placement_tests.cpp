#include "policy/policy.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

TEST(placement, prefers_the_near_domain_and_spills_when_it_is_full)
{
    std::mt19937_64 random(1);
    std::vector<candidate> candidates{{"near", 0, 1, true}, {"far", 0, 1, true}};
    EXPECT_EQ(place(candidates, "near", random), 0U);
    candidates[0].in_flight = 1;
    EXPECT_EQ(place(candidates, "near", random), 1U);
    candidates[1].in_flight = 1;
    EXPECT_EQ(place(candidates, "near", random), std::nullopt);
}

TEST(placement, gives_a_slow_target_less_work)
{
    std::mt19937_64 random(1);
    std::vector<candidate> candidates{{"x", 30, 32, true}, {"x", 1, 32, true}, {"x", 1, 32, true}};
    int slow = 0;
    for (int place_number = 0; place_number < 900; ++place_number) {
        slow += place(candidates, "x", random) == 0U ? 1 : 0;
    }
    EXPECT_LT(slow, 200);
}

TEST(placement, leaves_out_what_is_not_usable)
{
    std::mt19937_64 random(1);
    const std::vector<candidate> candidates{{"x", 0, 32, false}, {"x", 31, 32, true}};
    EXPECT_EQ(place(candidates, "x", random), 1U);
}

} // namespace
} // namespace vanillagauge::policy
