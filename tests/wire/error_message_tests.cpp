#include "vanillagauge.pb.h"
#include "wire/codec.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::wire {
namespace {

// Guards against a delay of a peer that wraps round to a time in the past.
TEST(error_message, limits_the_delay_before_a_retry)
{
    v1::Error message;
    message.set_retry_after_ms(250);
    EXPECT_EQ(from_message(message).retry_after, milliseconds{250});
    for (const auto odd :
         {std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min()}) {
        message.set_retry_after_ms(odd);
        const auto read = from_message(message).retry_after;
        EXPECT_GE(read, milliseconds{0});
        EXPECT_LE(read, std::chrono::hours{1});
    }
}

} // namespace
} // namespace vanillagauge::wire
