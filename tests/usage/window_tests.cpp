#include "usage/usage.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::usage {
namespace {

// Guards against the end of a window of a peer or of the store that wraps round to a time in the past.
TEST(windows, with_immense_numbers_end_late)
{
    const milliseconds length{5000};
    EXPECT_EQ(end_of_window(3, length), wall_time{milliseconds{20000}});
    for (const std::uint64_t window :
         {~std::uint64_t{0}, std::uint64_t{1} << 63U, std::uint64_t{1} << 60U, std::uint64_t{1} << 40U}) {
        EXPECT_GT(end_of_window(window, length), std::chrono::system_clock::now()) << window;
    }
}

} // namespace
} // namespace vanillagauge::usage
