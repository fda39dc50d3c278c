#include "observe/internal/line_queue.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

#include <array>
#include <chrono>

namespace vanillagauge::observe::internal {
namespace {

TEST(line_queue, writes_lines_in_order)
{
    std::array<int, 2> pipe{};
    ASSERT_EQ(::pipe(pipe.data()), 0);
    {
        line_queue lines(pipe[1], 1000);
        lines.push("one\n");
        lines.push("two\n");
        std::array<char, 8> read{};
        std::size_t size = 0;
        while (size < read.size()) {
            size += static_cast<std::size_t>(::read(pipe[0], read.data() + size, read.size() - size));
        }
        EXPECT_EQ(std::string(read.data(), size), "one\ntwo\n");
    }
    ::close(pipe[0]);
    ::close(pipe[1]);
}

// Guards against blocking the program when the log's reader stalls; lines are dropped and counted.
TEST(line_queue, drops_lines_when_the_reader_stalls)
{
    std::array<int, 2> pipe{};
    ASSERT_EQ(::pipe(pipe.data()), 0);
    const auto began = std::chrono::steady_clock::now();
    {
        line_queue lines(pipe[1], 10000);
        for (int count = 0; count < 10000; ++count) {
            lines.push(std::string(99, 'x') + "\n");
        }
        EXPECT_GT(lines.dropped(), 5000U);
    }
    EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(5));
    ::close(pipe[0]);
    ::close(pipe[1]);
}

} // namespace
} // namespace vanillagauge::observe::internal
