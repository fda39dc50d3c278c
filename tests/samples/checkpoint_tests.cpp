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

TEST(checkpoint_writer, writes_one_record_at_a_time_and_only_the_newest)
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

// The write took effect but its reply was lost: a retry without a read would conflict with the writer's own
// record each time.
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

// An owner resumes after a suspension with an old step, while its successor has stored later ones.
TEST(checkpoint_writer, never_writes_an_older_step_over_a_newer)
{
    checkpoint_writer resumed;
    resumed.begin_read(start);
    resumed.advance({4, 5});
    resumed.on_read(checkpoint{9, 10}, 6);
    EXPECT_FALSE(resumed.begin_write(start).has_value());
    EXPECT_EQ(resumed.newest().step, 9);
}

TEST(cursor_recovery, starts_a_new_job_at_the_first_step)
{
    const auto step = recovery_step({1, std::nullopt, {}, std::optional<checkpoint>()});
    EXPECT_EQ(value(step), 0);
}

TEST(cursor_recovery, starts_at_the_newest_step_of_memory_and_store)
{
    EXPECT_EQ(value(recovery_step({5, std::nullopt, {3, 4}, stored(4, 5)})), 4);
    EXPECT_EQ(value(recovery_step({5, std::nullopt, {6, 5}, stored(4, 4)})), 6);
}

// The trainer trained on step 4, published version 6, and lost its cursor before it acknowledged the step.
// Serving step 4 from the checkpoint would silently train on it twice.
TEST(cursor_recovery, is_refused_where_the_trainer_is_ahead_of_the_checkpoint)
{
    const auto refused = recovery_step({6, std::nullopt, {}, stored(4, 5)});
    ASSERT_FALSE(ok(refused));
    EXPECT_EQ(failure(refused).code, error_code::stale_cursor);
    EXPECT_EQ(value(recovery_step({6, 5, {}, stored(4, 5)})), 5);
}

// The store is down, and this owner may have been suspended while a successor served steps later than the one
// in its memory: serving from memory could deliver them twice.
TEST(cursor_recovery, is_refused_with_a_retry_time_while_the_store_is_down)
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
