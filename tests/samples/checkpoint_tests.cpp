#include "samples/samples.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::samples {
namespace {

constexpr time_point start{};

using stored_checkpoint = result<std::optional<checkpoint>>;

stored_checkpoint stored(std::int64_t step, std::uint64_t version)
{
    return std::optional<checkpoint>(checkpoint{step, version});
}

TEST(checkpoint_writer, writes_once_a_step_and_only_the_newest)
{
    checkpoint_writer writer;
    ASSERT_TRUE(writer.begin_read(start));
    EXPECT_FALSE(writer.begin_read(start));
    writer.on_read(std::nullopt, 0);
    EXPECT_FALSE(writer.begin_write(start).has_value());
    writer.advance({1, 2});
    ASSERT_EQ(writer.begin_write(start)->record.step, 1);
    writer.advance({2, 3});
    writer.advance({3, 4});
    EXPECT_FALSE(writer.begin_write(start).has_value());
    writer.on_written(1);
    const auto second = writer.begin_write(start);
    EXPECT_EQ(second->record, (checkpoint{3, 4}));
    EXPECT_EQ(second->expected_version, 1U);
    writer.on_written(2);
    EXPECT_FALSE(writer.begin_write(start).has_value());
    EXPECT_TRUE(writer.up_to_date());
}

// The write took effect and its answer was lost. A blind second try would conflict with the writer's own
// record for ever; reading back shows that it stands.
TEST(checkpoint_writer, reads_back_after_a_write_with_an_unknown_outcome)
{
    checkpoint_writer writer;
    writer.begin_read(start);
    writer.on_read(std::nullopt, 0);
    writer.advance({1, 2});
    writer.begin_write(start);
    writer.on_failed(start);
    EXPECT_FALSE(writer.begin_read(start));
    ASSERT_TRUE(writer.begin_read(start + seconds{2}));
    writer.on_read(checkpoint{1, 2}, 1);
    EXPECT_FALSE(writer.begin_write(start + seconds{2}).has_value());
    EXPECT_TRUE(writer.up_to_date());
}

// An owner that was paused wakes with an old step in mind while its successor has written later ones.
TEST(checkpoint_writer, never_writes_an_older_step_over_a_newer)
{
    checkpoint_writer woken;
    woken.begin_read(start);
    woken.advance({4, 5});
    woken.on_read(checkpoint{9, 10}, 6);
    EXPECT_FALSE(woken.begin_write(start).has_value());
    EXPECT_EQ(woken.newest().step, 9);
}

TEST(lost_cursor, of_a_new_job_begins_at_the_first_step)
{
    const auto step = recovery_step({1, std::nullopt, {}, std::optional<checkpoint>()});
    EXPECT_EQ(value(step), 0);
}

TEST(lost_cursor, begins_at_the_newest_step_known)
{
    EXPECT_EQ(value(recovery_step({5, std::nullopt, {3, 4}, stored(4, 5)})), 4);
    EXPECT_EQ(value(recovery_step({5, std::nullopt, {6, 5}, stored(4, 4)})), 6);
}

// The trainer trained on step 4, published version 6, and lost its cursor before it acknowledged the step.
// The checkpoint still says step 4: serving it would train on the same step twice without a sign.
TEST(lost_cursor, after_newer_weights_than_the_checkpoint_is_refused)
{
    const auto refused = recovery_step({6, std::nullopt, {}, stored(4, 5)});
    ASSERT_FALSE(ok(refused));
    EXPECT_EQ(failure(refused).code, error_code::stale_cursor);
    EXPECT_EQ(value(recovery_step({6, 5, {}, stored(4, 5)})), 5);
}

// The store is down and this owner remembers step 3, but it may have slept while a successor served later
// steps; its memory alone would double them.
TEST(lost_cursor, with_the_store_down_is_told_when_to_come_back)
{
    const stored_checkpoint down{error{error_code::unavailable, run_state::not_run, "down"}};
    const auto refused = recovery_step({4, std::nullopt, {3, 4}, down});
    ASSERT_FALSE(ok(refused));
    EXPECT_EQ(failure(refused).code, error_code::unavailable);
    EXPECT_GT(failure(refused).retry_after.count(), 0);
    EXPECT_EQ(value(recovery_step({4, 3, {3, 4}, down})), 3);
}

} // namespace
} // namespace vanillagauge::samples
