#include "fleet/fleet.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::fleet {
namespace {

TEST(rendezvous, moves_only_what_the_leaving_member_owned)
{
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const std::vector<std::string> fewer{"a", "b", "c"};
    for (int place = 0; place < 200; ++place) {
        const std::string thing = "job/" + std::to_string(place);
        const auto before = ranked_owners(thing, all).front();
        const auto after = ranked_owners(thing, fewer).front();
        if (before != "d") {
            EXPECT_EQ(before, after) << thing;
        }
    }
}

} // namespace
} // namespace vanillagauge::fleet
