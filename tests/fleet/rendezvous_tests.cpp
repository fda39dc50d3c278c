#include "fleet/fleet.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::fleet {
namespace {

TEST(rendezvous, moves_only_the_keys_of_a_removed_member)
{
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const std::vector<std::string> fewer{"a", "b", "c"};
    for (int index = 0; index < 200; ++index) {
        const std::string key = "job/" + std::to_string(index);
        const auto before = ranked_owners(key, all).front();
        const auto after = ranked_owners(key, fewer).front();
        if (before != "d") {
            EXPECT_EQ(before, after) << key;
        }
    }
}

} // namespace
} // namespace vanillagauge::fleet
