#include "config/config.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::config {
namespace {

const time_point start{};

TEST(pull_planner, no_pull_for_equal_digests)
{
    pull_planner planner;
    EXPECT_FALSE(planner.on_mark({5, 10}, {5, 10}, start));
}

TEST(pull_planner, one_pull_for_many_announcements)
{
    pull_planner planner;
    EXPECT_EQ(planner.on_mark({5, 10}, {6, 11}, start), pull_kind::recent);
    for (int peer = 0; peer < 50; ++peer) {
        EXPECT_FALSE(planner.on_mark({5, 10}, {6, 11}, start + milliseconds{peer}));
    }
}

// The peer stops during the pull. The change must then be pulled from another peer.
TEST(pull_planner, retries_after_the_pull_timeout)
{
    pull_planner planner;
    planner.on_mark({5, 10}, {6, 11}, start);
    EXPECT_FALSE(planner.on_mark({5, 10}, {7, 12}, start + milliseconds{1900}));
    EXPECT_EQ(planner.on_mark({5, 10}, {7, 12}, start + milliseconds{2000}), pull_kind::recent);
}

TEST(pull_planner, no_pull_from_an_older_peer)
{
    pull_planner planner;
    EXPECT_FALSE(planner.on_mark({6, 11}, {5, 10}, start));
}

// Equal newest versions with different digests: an older change is missing on one side. If recent changes do
// not resolve it, all versions are compared, and finally the store is listed.
TEST(pull_planner, escalates_to_complete_pulls_and_the_store)
{
    pull_planner planner;
    auto now = start;
    EXPECT_EQ(planner.on_mark({5, 11}, {6, 11}, now), pull_kind::recent);
    planner.on_ended();
    for (int round = 0; round < 3; ++round) {
        now += seconds{5};
        EXPECT_EQ(planner.on_mark({5, 11}, {6, 11}, now), pull_kind::complete);
        planner.on_ended();
    }
    now += seconds{5};
    EXPECT_EQ(planner.on_mark({5, 11}, {6, 11}, now), pull_kind::from_store);
}

} // namespace
} // namespace vanillagauge::config
