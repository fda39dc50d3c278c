#include "usage/usage.hpp"

#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <limits>

namespace vanillagauge::usage {
namespace {

constexpr report_times times{milliseconds(5000), milliseconds(10000), milliseconds(3000)};

wall_time at(std::uint64_t window, milliseconds into)
{
    return end_of_window(window, times.window) - times.window + into;
}

std::optional<std::uint64_t> closes(const report_action& action)
{
    const auto* chosen = std::get_if<close_window>(&action);
    return chosen == nullptr ? std::nullopt : std::optional(chosen->window);
}

std::optional<std::uint64_t> sends(const report_action& action)
{
    const auto* chosen = std::get_if<send_report>(&action);
    return chosen == nullptr ? std::nullopt : std::optional(chosen->window);
}

TEST(next_report_action, closes_a_window_once_its_counts_have_arrived)
{
    report_state state;
    state.first_window = 100;
    EXPECT_TRUE(std::holds_alternative<wait_for_window>(
        next_report_action(state, times, at(101, milliseconds(2999)))));
    EXPECT_EQ(closes(next_report_action(state, times, at(101, milliseconds(3000)))), 100U);
    state.log.append(100, {});
    EXPECT_EQ(sends(next_report_action(state, times, at(101, milliseconds(3000)))), 100U);
    state.log.acknowledge(100);
    EXPECT_TRUE(std::holds_alternative<wait_for_window>(
        next_report_action(state, times, at(101, milliseconds(3000)))));
}

// Guards against windows that are never billed since the store or the platform was away when they closed.
TEST(next_report_action, works_off_a_backlog_in_order)
{
    report_state state;
    state.log.append(100, {});
    state.log.acknowledge(100);
    for (std::uint64_t window = 101; window < 105; ++window) {
        const auto now = at(106, milliseconds(0));
        ASSERT_EQ(closes(next_report_action(state, times, now)), window);
        state.log.append(window, {});
        ASSERT_EQ(sends(next_report_action(state, times, now)), window);
        state.log.acknowledge(window);
    }
    EXPECT_EQ(closes(next_report_action(state, times, at(200, milliseconds(0)))), 188U);
}

// Guards against a gateway that ends itself: it would send the report of a window that the log did not take.
TEST(next_report_action, closes_no_window_after_the_last_possible_one)
{
    constexpr auto last = std::numeric_limits<std::uint64_t>::max();
    report_state state;
    state.log.append(last, {});
    state.log.acknowledge(last);
    EXPECT_TRUE(std::holds_alternative<wait_for_window>(
        next_report_action(state, times, at(101, milliseconds(3000)))));
}

// Guards against windows that are never billed because they are short: a platform that is silent for seconds
// outlasts a dozen of them.
TEST(next_report_action, works_off_a_backlog_of_short_windows)
{
    constexpr report_times short_windows{milliseconds(500), milliseconds(1500), milliseconds(500)};
    report_state state;
    state.log.append(1000, {});
    state.log.acknowledge(1000);
    const auto now = end_of_window(1000, short_windows.window) + seconds(20);
    EXPECT_EQ(closes(next_report_action(state, short_windows, now)), 1001U);
}

// Guards against a window that nobody sends: its numbers were fixed by a holder that failed before the send.
TEST(next_report_action, new_holder_sends_the_stored_reports_that_may_be_unsent)
{
    report_state state;
    for (std::uint64_t window = 100; window < 104; ++window) {
        state.log.append(window, {});
    }
    state.log.acknowledge(100);
    state.log.acknowledge(101);
    std::vector<std::uint64_t> sent;
    while (const auto window = sends(next_report_action(state, times, at(107, milliseconds(0))))) {
        sent.push_back(*window);
        state.log.acknowledge(*window);
    }
    EXPECT_EQ(sent, (std::vector<std::uint64_t>{102, 103}));
}

// Guards against two reports of one window with different numbers, over random failures of holders between
// any two steps.
TEST(report_log, a_window_is_never_reported_in_two_ways)
{
    const bool holds = rc::check([](const std::vector<std::uint8_t>& steps) {
        report_log stored;
        std::map<std::uint64_t, counts> received;
        report_state holder;
        holder.first_window = 100;
        auto now = at(100, milliseconds(0));
        std::uint64_t known_runs = 0;
        for (const auto step : steps) {
            now += milliseconds(700);
            ++known_runs; // late counts: each holder and each moment knows other numbers
            if (step % 4 == 0) {
                holder = {}; // the holder fails; its successor reads the store
                holder.log = stored;
                holder.first_window = window_at(now, times.window);
            }
            const auto action = next_report_action(holder, times, now);
            if (const auto window = closes(action)) {
                holder.log.append(*window, {{"first", known_runs}});
                stored = holder.log;
            }
            else if (const auto sent = sends(action)) {
                const auto& runs = holder.log.reports().at(*sent);
                RC_ASSERT(received.try_emplace(*sent, runs).first->second == runs);
                if (step % 4 != 1) { // else its answer is lost
                    holder.log.acknowledge(*sent);
                }
            }
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace vanillagauge::usage
