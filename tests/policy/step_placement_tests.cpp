#include "policy/policy.hpp"

#include <gtest/gtest.h>

#include <map>

namespace vanillagauge::policy {
namespace {

std::vector<engine_view> eight_engines()
{
    std::vector<engine_view> engines;
    engines.reserve(8);
    for (int index = 0; index < 8; ++index) {
        engines.push_back({"engine-" + std::to_string(index), 0, 16, 3, true});
    }
    return engines;
}

TEST(step_placement, keeps_most_of_a_group_on_one_engine)
{
    auto engines = eight_engines();
    int together = 0;
    for (std::uint64_t group = 0; group < 16; ++group) {
        std::map<std::size_t, int> used;
        for (int sample = 0; sample < 4; ++sample) {
            const auto index = place_sample(engines, {group, 0, {}});
            ASSERT_TRUE(index.has_value());
            ++engines[*index].in_flight;
            ++used[*index];
        }
        for (const auto& [index, count] : used) {
            together += count > 1 ? count : 0;
        }
    }
    EXPECT_GE(together, 32);
}

// Guards against prefix affinity that sends a step with a single prompt to one engine while seven idle.
TEST(step_placement, spreads_one_hot_prefix_over_all_engines)
{
    auto engines = eight_engines();
    for (int sample = 0; sample < 64; ++sample) {
        ++engines[*place_sample(engines, {42, 0, {}})].in_flight;
    }
    int used = 0;
    for (const auto& engine : engines) {
        EXPECT_LE(engine.in_flight, 11);
        used += engine.in_flight > 0 ? 1 : 0;
    }
    EXPECT_GE(used, 7);
}

TEST(step_placement, skips_full_old_avoided_and_unusable_engines)
{
    std::vector<engine_view> engines{{"full", 4, 4, 3, true},
                                     {"old", 0, 4, 1, true},
                                     {"loading", 0, 4, 3, false},
                                     {"left", 0, 4, 3, true}};
    EXPECT_FALSE(place_sample(engines, {1, 2, "left"}).has_value());
    EXPECT_FALSE(place_round_robin(engines, {1, 2, "left"}, 1).has_value());
    EXPECT_EQ(place_sample(engines, {1, 2, {}}), 3U);
    EXPECT_EQ(place_round_robin(engines, {1, 2, {}}, 0), 3U);
}

TEST(job_share, is_proportional_to_weight_and_at_least_one)
{
    EXPECT_EQ(job_share(100, 3, 4), 75);
    EXPECT_EQ(job_share(100, 1, 4), 25);
    EXPECT_EQ(job_share(4, 1, 1000), 1);
}

} // namespace
} // namespace vanillagauge::policy
