#include "policy/policy.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

stream_view stream(std::uint64_t attempt, int tokens, milliseconds running,
                   milliseconds silent = milliseconds{20})
{
    return {attempt, tokens, running, silent, false, false};
}

step_view nearly_done(std::vector<stream_view> streams)
{
    return {16, 16 - streams.size(), 8, std::move(streams)};
}

TEST(stragglers, races_a_slow_stream_near_the_end)
{
    const auto chosen = stragglers(
        nearly_done({stream(1, 200, seconds{1}), stream(2, 190, seconds{1}), stream(3, 40, seconds{1})}));
    ASSERT_EQ(chosen.size(), 1U);
    EXPECT_EQ(chosen[0].attempt, 3U);
    EXPECT_EQ(chosen[0].action, straggler_action::race);
}

TEST(stragglers, leaves_a_sample_alone_that_is_merely_long)
{
    const auto chosen = stragglers(
        nearly_done({stream(1, 800, seconds{4}), stream(2, 190, seconds{1}), stream(3, 200, seconds{1})}));
    EXPECT_TRUE(chosen.empty());
}

// The connection to the engine went silent for good. Waiting for the stream's own timeout would hold the
// whole step for seconds, so its sample goes on elsewhere at any point of the step.
TEST(stragglers, resumes_a_silent_stream_at_once)
{
    step_view early{16, 0, 8, {stream(1, 80, seconds{3}, seconds{2}), stream(2, 80, seconds{1})}};
    const auto chosen = stragglers(early);
    ASSERT_EQ(chosen.size(), 1U);
    EXPECT_EQ(chosen[0].attempt, 1U);
    EXPECT_EQ(chosen[0].action, straggler_action::resume);
}

TEST(stragglers, races_nothing_early_twice_while_scored_or_without_room)
{
    auto slow = stream(3, 10, seconds{1});
    const auto fast = stream(1, 200, seconds{1});
    EXPECT_TRUE(stragglers({16, 4, 8, {fast, fast, slow}}).empty());
    auto full = nearly_done({fast, fast, slow});
    full.free_places = 0;
    EXPECT_TRUE(stragglers(full).empty());
    slow.raced = true;
    EXPECT_TRUE(stragglers(nearly_done({fast, fast, slow})).empty());
    slow.raced = false;
    slow.scoring = true;
    EXPECT_TRUE(stragglers(nearly_done({fast, fast, slow})).empty());
}

} // namespace
} // namespace vanillagauge::policy
