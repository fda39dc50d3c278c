#include "config/config.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::config {
namespace {

const time_point start{};

TEST(pull_planner, asks_nothing_of_a_peer_that_holds_the_same)
{
    pull_planner planner;
    EXPECT_FALSE(planner.on_mark({5, 10}, {5, 10}, start));
}

TEST(pull_planner, asks_once_for_a_change_that_many_peers_tell_of)
{
    pull_planner planner;
    EXPECT_EQ(planner.on_mark({5, 10}, {6, 11}, start), pull_kind::recent);
    for (int peer = 0; peer < 50; ++peer) {
        EXPECT_FALSE(planner.on_mark({5, 10}, {6, 11}, start + milliseconds{peer}));
    }
}

// The asked peer dies with the pull under way. The change must still come, from the next peer.
TEST(pull_planner, asks_another_peer_where_a_pull_is_not_answered)
{
    pull_planner planner;
    planner.on_mark({5, 10}, {6, 11}, start);
    EXPECT_FALSE(planner.on_mark({5, 10}, {7, 12}, start + milliseconds{1900}));
    EXPECT_EQ(planner.on_mark({5, 10}, {7, 12}, start + milliseconds{2000}), pull_kind::recent);
}

TEST(pull_planner, lets_the_peer_that_is_behind_ask)
{
    pull_planner planner;
    EXPECT_FALSE(planner.on_mark({6, 11}, {5, 10}, start));
}

// Two changes accepted on two VMs at once cross: both hold the same newest version, one lacks the other
// change. Recent changes come first; where they do not settle it everything is compared, and at last the
// store decides.
TEST(pull_planner, compares_all_and_at_last_lists_the_store_where_recent_changes_do_not_settle_it)
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
