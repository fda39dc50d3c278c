#include "policy/policy.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

stream_view stream(std::uint64_t attempt, int tokens, milliseconds elapsed,
                   milliseconds since_last_chunk = milliseconds{20})
{
    return {attempt, tokens, elapsed, since_last_chunk, false, false};
}

step_view nearly_done(std::vector<stream_view> streams)
{
    return {16, 16 - streams.size(), 8, 200, std::move(streams)};
}

TEST(stragglers, races_a_slow_stream_near_the_end)
{
    const auto chosen = find_stragglers(
        nearly_done({stream(1, 200, seconds{1}), stream(2, 190, seconds{1}), stream(3, 40, seconds{1})}));
    ASSERT_EQ(chosen.size(), 1U);
    EXPECT_EQ(chosen[0].attempt, 3U);
    EXPECT_EQ(chosen[0].action, straggler_action::race);
}

TEST(stragglers, does_not_race_a_long_sample)
{
    const auto chosen = find_stragglers(
        nearly_done({stream(1, 800, seconds{4}), stream(2, 190, seconds{1}), stream(3, 200, seconds{1})}));
    EXPECT_TRUE(chosen.empty());
}

// Guards against comparing the running streams only with each other: none stands out if all are slow.
TEST(stragglers, races_a_group_on_one_slow_engine)
{
    const auto chosen =
        find_stragglers({6, 4, 8, 200, {stream(1, 20, seconds{1}), stream(2, 22, seconds{1})}});
    EXPECT_EQ(chosen.size(), 2U);
    EXPECT_TRUE(find_stragglers({6, 4, 8, 0, {stream(1, 20, seconds{1})}}).empty());
}

// Guards against a step that waits seconds for the timeout of a stream whose connection is lost.
TEST(stragglers, resumes_a_stalled_stream_at_once)
{
    step_view early{16, 0, 8, 200, {stream(1, 80, seconds{3}, seconds{2}), stream(2, 80, seconds{1})}};
    const auto chosen = find_stragglers(early);
    ASSERT_EQ(chosen.size(), 1U);
    EXPECT_EQ(chosen[0].attempt, 1U);
    EXPECT_EQ(chosen[0].action, straggler_action::resume);
}

TEST(stragglers, does_not_race_early_twice_scoring_or_without_capacity)
{
    auto slow = stream(3, 10, seconds{1});
    const auto fast = stream(1, 200, seconds{1});
    EXPECT_TRUE(find_stragglers({16, 4, 8, 200, {fast, fast, slow}}).empty());
    auto full = nearly_done({fast, fast, slow});
    full.free_capacity = 0;
    EXPECT_TRUE(find_stragglers(full).empty());
    slow.raced = true;
    EXPECT_TRUE(find_stragglers(nearly_done({fast, fast, slow})).empty());
    slow.raced = false;
    slow.scoring = true;
    EXPECT_TRUE(find_stragglers(nearly_done({fast, fast, slow})).empty());
}

} // namespace
} // namespace vanillagauge::policy
