#include "base/retry_delay.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace vanillagauge {
namespace {

// Guards against a delay that wraps round to a time in the past, or puts off the next try for ever.
TEST(named_retry_delay, is_limited)
{
    EXPECT_EQ(named_retry_delay(250), milliseconds{250});
    EXPECT_EQ(named_retry_delay(-1), milliseconds{0});
    EXPECT_EQ(named_retry_delay(std::numeric_limits<std::int64_t>::min()), milliseconds{0});
    EXPECT_EQ(named_retry_delay(std::numeric_limits<std::int64_t>::max()), std::chrono::hours{1});
}

} // namespace
} // namespace vanillagauge
