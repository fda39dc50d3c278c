#include "usage/usage.hpp"

#include <gtest/gtest.h>

#include <rapidcheck.h>

namespace vanillagauge::usage {
namespace {

TEST(ledger, sums_the_runs_of_all_processes)
{
    ledger known;
    known.count("a/1", 7, "first");
    known.count("a/1", 7, "first");
    known.count("a/1", 8, "first");
    known.merge("b/1", 7, {{"first", 3}, {"second", 1}});
    EXPECT_EQ(known.total(7), (counts{{"first", 5}, {"second", 1}}));
    EXPECT_EQ(known.total(8), (counts{{"first", 1}}));
    EXPECT_EQ(known.total(9), counts{});
    EXPECT_EQ(known.of_source("a/1"), (window_counts{{7, {{"first", 2}}}, {8, {{"first", 1}}}}));
    known.forget_before(8);
    EXPECT_EQ(known.total(7), counts{});
    EXPECT_EQ(known.total(8), (counts{{"first", 1}}));
}

// Guards against a bill with runs counted twice: messages are repeated after lost answers and overtake each
// other.
TEST(ledger, counts_each_run_once_whatever_the_order_of_messages)
{
    const bool holds = rc::check([](const std::vector<std::uint8_t>& order) {
        ledger source;
        std::vector<counts> messages;
        for (std::uint64_t run = 0; run < 6; ++run) {
            source.count("a/1", 7, run % 2 == 0 ? "first" : "second");
            messages.push_back(source.total(7));
        }
        ledger collector;
        for (const auto pick : order) {
            collector.merge("a/1", 7, messages[pick % messages.size()]);
        }
        collector.merge("a/1", 7, messages.back());
        RC_ASSERT(collector.total(7) == source.total(7));
    });
    EXPECT_TRUE(holds);
}

// Guards against a restarted process whose count begins at nothing and hides what it counted before.
TEST(ledger, keeps_the_counts_of_an_earlier_process)
{
    ledger collector;
    collector.merge("a/1", 7, {{"first", 4}});
    collector.merge("a/2", 7, {{"first", 1}});
    EXPECT_EQ(collector.total(7), (counts{{"first", 5}}));
}

TEST(window_at, counts_windows_from_the_start_of_1970)
{
    const milliseconds length(5000);
    EXPECT_EQ(window_at(wall_time{milliseconds(4999)}, length), 0U);
    EXPECT_EQ(window_at(wall_time{milliseconds(5000)}, length), 1U);
    EXPECT_EQ(end_of_window(1, length), wall_time{milliseconds(10000)});
}

TEST(probably_ran, counts_what_was_sent_unless_the_replica_denies_it)
{
    EXPECT_FALSE(probably_ran({}));
    EXPECT_FALSE(probably_ran({.sent = true, .answered = true, .refused = true}));
    EXPECT_TRUE(probably_ran({.sent = true, .answered = true}));
    EXPECT_TRUE(probably_ran({.sent = true})) << "no answer by its time limit";
    EXPECT_TRUE(probably_ran({.sent = true, .closed = true})) << "its answer is lost";
    EXPECT_TRUE(probably_ran(
        {.sent = true, .closed = true, .reused_connection = true, .since_sent = milliseconds(20)}));
    EXPECT_FALSE(probably_ran(
        {.sent = true, .closed = true, .reused_connection = true, .since_sent = milliseconds(1)}));
}

} // namespace
} // namespace vanillagauge::usage
