#include "observe/observe.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <thread>

namespace vanillagauge::observe {
namespace {

/// Needs more stack than any thread has.
int deepen(int level) // NOLINT(misc-no-recursion)
{
    volatile char frame[1024] = {}; // NOLINT(modernize-avoid-c-arrays)
    frame[level % 1024] = static_cast<char>(level);
    return level < 0 ? 0 : deepen(level + 1) + frame[level % 1024];
}

void exhaust_stack_of_a_thread()
{
    report_crashes("tested");
    std::thread([] {
        const crash_stack stack;
        note_input("store", "GET /objects/a");
        note_input("entry", "servers/i-\"odd\"\n");
        deepen(0);
    }).join();
}

void abort_after(std::size_t inputs)
{
    report_crashes("tested");
    for (std::size_t number = 0; number < inputs; ++number) {
        note_input("client", std::to_string(number) + " " + std::string(1000, 'x'));
    }
    std::abort();
}

// A process that ended by itself left no line on what it was reading.
TEST(crash_report_death_test, names_the_signal_and_what_was_read_last)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(exhaust_stack_of_a_thread(), testing::KilledBySignal(SIGSEGV),
                R"("event":"crashed","program":"tested","signal":11,)"
                R"("last_inputs":."entry servers/i-.odd..","store GET /objects/a".)");
}

TEST(crash_report_death_test, keeps_the_last_inputs_and_cuts_long_ones)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(abort_after(20), testing::KilledBySignal(SIGABRT),
                R"("signal":6,"last_inputs":."client 19 x+","client 18 x+".*"client 12 x+".)");
}

} // namespace
} // namespace vanillagauge::observe
