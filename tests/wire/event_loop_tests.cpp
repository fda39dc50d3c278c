#include "wire/event_loop.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace vanillagauge::wire {
namespace {

// Guards against a delay whose end is beyond the clock and that is over at once.
TEST(event_loop, longest_delay_is_not_over_at_once)
{
    std::atomic<bool> done = false;
    event_loop loop;
    loop.after(milliseconds::max(), [&done] { done = true; });
    std::this_thread::sleep_for(milliseconds{200});
    EXPECT_FALSE(done);
    loop.stop();
}

} // namespace
} // namespace vanillagauge::wire
