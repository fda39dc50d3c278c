#include "policy/run_move.hpp"

#include "policy/run_length.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

/// One engine of the usual speed with a free place, one that is half as fast, and a full fast one.
std::vector<finish_engine> make_engines()
{
    return {{"usual", 0, 1, fractional_ms{45}, {}, 0, {}, {}},
            {"slow", 2, 6, fractional_ms{90}, {}, 0, {}, {}},
            {"full", 8, 0, fractional_ms{30}, {}, 0, {}, {}}};
}

TEST(likely_events_left, is_bounded_by_hint_and_limit)
{
    EXPECT_EQ(likely_events_left({0, 20, 150}), 50);
    EXPECT_EQ(likely_events_left({10, 20, 150}), 40);
    EXPECT_EQ(likely_events_left({60, 20, 150}), 90) << "longer than the hint: up to the limit";
    EXPECT_EQ(likely_events_left({100, 100, 150}), 50);
    EXPECT_EQ(likely_events_left({160, 100, 150}), 0);
    EXPECT_EQ(likely_events_left({0, 20, 0}), 50);
    EXPECT_FALSE(likely_events_left({0, 0, 0}));
    EXPECT_FALSE(likely_events_left({60, 20, 0}));
}

TEST(expected_events_left, follows_the_hint_and_then_the_limit)
{
    EXPECT_EQ(expected_events_left({5, 20, 150}), 15);
    EXPECT_EQ(expected_events_left({20, 20, 150}), 130);
    EXPECT_EQ(expected_events_left({0, 200, 150}), 150);
    EXPECT_EQ(expected_events_left({0, 20, 0}), 20);
    EXPECT_FALSE(expected_events_left({20, 20, 0}));
}

// Guards against a step that is late since its longest item stays on a slow engine.
TEST(choose_move, moves_the_run_that_ends_the_step)
{
    EXPECT_EQ(choose_move(make_engines(), 0, {{1, 20}, {1, 60}}), 1U);
    EXPECT_EQ(choose_move(make_engines(), 0, {{1, 20}, {1, 60}, {2, 60}}), 1U);
    EXPECT_EQ(choose_move(make_engines(), 0, {{1, 0}}), 0U) << "a run of unknown length";
}

// Guards against moves that repeat work and end the step no sooner: of short items, of one beside another run
// that is as late, for less than their cost, and of a run that has just begun.
TEST(choose_move, leaves_runs_whose_move_ends_the_step_no_sooner)
{
    EXPECT_FALSE(choose_move(make_engines(), 0, {}));
    EXPECT_FALSE(choose_move(make_engines(), 0, {{1, 20}, {2, 137}}));
    EXPECT_FALSE(choose_move(make_engines(), 0, {{1, 60}, {1, 60}})) << "one free place for two runs";
    EXPECT_FALSE(choose_move(make_engines(), 0, {{1, 1}}));
    EXPECT_FALSE(choose_move(make_engines(), 0, {{1, 60, false}}));
}

// Guards against moves to engines that take no run of the step.
TEST(choose_move, uses_no_engine_that_is_away_loading_or_has_old_weights)
{
    auto engines = make_engines();
    EXPECT_FALSE(choose_move(engines, 1, {{1, 60}}));
    engines[0].usable = false;
    EXPECT_FALSE(choose_move(engines, 0, {{1, 60}}));
    engines = make_engines();
    engines[0].pause = milliseconds{900};
    EXPECT_FALSE(choose_move(engines, 0, {{1, 60}}));
}

} // namespace
} // namespace vanillagauge::policy
