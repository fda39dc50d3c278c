#include "policy/publish_plan.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

constexpr std::size_t groups = 10;
constexpr std::size_t items_per_group = 8;

/// A batch of ten groups, nine of them wanted, due in 7.5 s; a group completes every 300 ms.
struct played_batch {
    time_point began{seconds(100)};
    publish_view view = make_view();
    int writes = 0;
    std::vector<milliseconds> published_after; ///< by group

    publish_view make_view() const
    {
        publish_view fresh;
        fresh.total = groups * items_per_group;
        fresh.wanted_groups = groups - 1;
        fresh.last_publish = began;
        fresh.due = began + milliseconds(7500);
        return fresh;
    }

    void complete_group()
    {
        ++view.complete_groups;
        view.results += items_per_group;
    }

    void tick(time_point now)
    {
        if (!should_publish(view, now)) {
            return;
        }
        ++writes;
        while (view.published_groups < view.complete_groups) {
            ++view.published_groups;
            published_after.push_back(milliseconds_between(began, now));
        }
        view.published += view.results;
        view.results = 0;
        view.last_publish = now;
    }

    void play(milliseconds group_interval, milliseconds length)
    {
        for (milliseconds at{0}; at <= length; at += milliseconds(50)) {
            const bool group_done = at.count() > 0 && at.count() % group_interval.count() == 0;
            if (group_done && view.complete_groups < groups) {
                complete_group();
            }
            tick(began + at);
        }
    }
};

// Guards against store calls that serve nobody: each write also ends a call of each reader.
TEST(publish_plan, gathers_groups_until_the_trainer_can_go_on)
{
    played_batch batch;
    batch.play(milliseconds(300), milliseconds(3500));
    ASSERT_EQ(batch.published_after.size(), groups);
    EXPECT_EQ(batch.published_after[groups - 2], milliseconds(2700)) << "the last wanted group must not wait";
    EXPECT_LE(batch.writes, 3);
}

// Guards against a late step that loses all its groups because the last wanted one is missing.
TEST(publish_plan, publishes_each_group_near_the_due_time)
{
    played_batch batch;
    batch.play(milliseconds(1500), milliseconds(7500));
    ASSERT_EQ(batch.published_after.size(), 5U);
    EXPECT_LE(batch.published_after[4], milliseconds(7500));
    EXPECT_LE(batch.published_after[3], milliseconds(6400));
}

// Guards against a trainer that pauses after a few results while its last wanted group completes: it goes on
// half a second later, and falls behind with each step.
TEST(publish_plan, holds_results_while_the_wanted_groups_are_about_to_complete)
{
    played_batch batch;
    const auto due = batch.view.due;
    batch.complete_group();
    batch.view.last_publish = due - milliseconds(1800);
    batch.view.wanted_by = due + milliseconds(100);
    EXPECT_TRUE(should_publish(batch.view, due - milliseconds(700))) << "the trainer has read again by then";
    EXPECT_FALSE(should_publish(batch.view, due - milliseconds(550)));
    EXPECT_FALSE(should_publish(batch.view, due));
    batch.view.complete_groups = batch.view.wanted_groups;
    EXPECT_TRUE(should_publish(batch.view, due + milliseconds(100)));
}

// Guards against groups that are complete in time and count as late, since the last wanted one comes too
// late.
TEST(publish_plan, publishes_for_the_last_read_where_the_wanted_groups_come_too_late)
{
    played_batch batch;
    const auto due = batch.view.due;
    batch.complete_group();
    batch.view.wanted_by = due + milliseconds(600);
    batch.view.last_publish = due - milliseconds(100);
    EXPECT_TRUE(should_publish(batch.view, due));
    batch.view.last_publish = due;
    EXPECT_FALSE(should_publish(batch.view, due + milliseconds(300)));
    EXPECT_TRUE(should_publish(batch.view, due + milliseconds(350)));
}

TEST(publish_plan, ignores_results_of_incomplete_groups)
{
    played_batch batch;
    batch.view.results = 5;
    EXPECT_FALSE(should_publish(batch.view, batch.began + seconds(5)));
    EXPECT_FALSE(should_publish(batch.view, batch.began + seconds(9)));
}

// Guards against a batch whose last results, of groups nobody waits for, keep it open.
TEST(publish_plan, publishes_the_last_results_at_once)
{
    played_batch batch;
    batch.view.published = batch.view.total - 3;
    batch.view.results = 3;
    EXPECT_TRUE(should_publish(batch.view, batch.began));
}

} // namespace
} // namespace vanillagauge::policy
