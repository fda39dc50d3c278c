#include "rollout/core/stored_records.hpp"

#include "../odd_json.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::rollout {
namespace {

// Guards against an exception in a callback, which ends the process, if a lease names no text as its holder.
TEST(stored_records, a_lease_without_a_readable_holder_has_none)
{
    EXPECT_EQ(holder_in(R"({"holder": "vm-1"})"), "vm-1");
    for (const auto& odd : odd_counts()) {
        if (odd != "\"7\"") {
            EXPECT_EQ(holder_in(R"({"holder": )" + odd + "}"), "") << odd.substr(0, 40);
        }
        EXPECT_EQ(holder_in(odd), "") << odd.substr(0, 40);
    }
}

// Guards against a checkpoint whose step or version wrapped round, from which a trainer would be served.
TEST(stored_records, a_checkpoint_with_numbers_out_of_range_is_none)
{
    const samples::checkpoint record{3, 4};
    const auto sound = to_text(record);
    EXPECT_EQ(checkpoint_from_text(sound), record);
    for (const auto& odd : odd_counts()) {
        EXPECT_EQ(checkpoint_from_text(replaced(sound, "4", odd)), std::nullopt) << odd.substr(0, 40);
        EXPECT_EQ(checkpoint_from_text(odd), std::nullopt) << odd.substr(0, 40);
    }
    EXPECT_EQ(checkpoint_from_text(replaced(sound, "3", "9223372036854775808")), std::nullopt);
}

} // namespace
} // namespace vanillagauge::rollout
