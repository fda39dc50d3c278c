#include "policy/owner_choice.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace vanillagauge::policy {
namespace {

std::vector<owner_candidate> make_fleet(std::size_t large, std::size_t small)
{
    std::vector<owner_candidate> fleet;
    for (std::size_t index = 0; index < large; ++index) {
        fleet.push_back({"large-" + std::to_string(index), 500});
    }
    for (std::size_t index = 0; index < small; ++index) {
        fleet.push_back({"small-" + std::to_string(index), 120});
    }
    return fleet;
}

// Guards against batches on the smallest VMs of a mixed fleet, whose events wait for the processor.
TEST(largest_owners, leaves_out_small_vms)
{
    const auto chosen = largest_owners(make_fleet(8, 47));
    EXPECT_EQ(chosen.size(), 8U);
    EXPECT_TRUE(std::all_of(chosen.begin(), chosen.end(),
                            [](const std::string& vm) { return vm.starts_with("large"); }));
}

// Guards against a single large VM that gets the batches of the whole fleet.
TEST(largest_owners, adds_smaller_vms_to_a_few_large_ones)
{
    EXPECT_EQ(largest_owners(make_fleet(1, 47)).size(), 48U);
    EXPECT_EQ(largest_owners({{"a", 4000}, {"b", 900}, {"c", 800}, {"d", 700}, {"e", 600}}),
              (std::vector<std::string>{"a", "b", "c", "d"}));
}

TEST(largest_owners, chooses_all_of_a_uniform_fleet)
{
    EXPECT_EQ(largest_owners(make_fleet(0, 30)).size(), 30U);
    EXPECT_EQ(largest_owners({{"a", 0}, {"b", 0}, {"c", 0}, {"d", 0}, {"e", 0}}).size(), 5U);
    EXPECT_TRUE(largest_owners({}).empty());
}

} // namespace
} // namespace vanillagauge::policy
