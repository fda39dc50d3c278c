#include "fleet/fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace vanillagauge::fleet {
namespace {

std::vector<member> fleet_of(std::size_t size, std::size_t domains)
{
    std::vector<member> members;
    for (std::size_t index = 0; index < size; ++index) {
        member entry;
        entry.info.vm = "vm-" + std::to_string(index);
        entry.info.failure_domain = "domain-" + std::to_string(index % domains);
        members.push_back(entry);
    }
    return members;
}

TEST(watchers, are_as_many_in_any_fleet_and_in_different_failure_domains)
{
    for (const std::size_t size : {8U, 350U}) {
        const auto members = fleet_of(size, 4);
        std::set<std::string> domains;
        const auto chosen = choose_watchers(members, 3);
        EXPECT_EQ(chosen.size(), 3U);
        for (const auto& entry : members) {
            if (std::find(chosen.begin(), chosen.end(), entry.info.vm) != chosen.end()) {
                domains.insert(entry.info.failure_domain);
            }
        }
        EXPECT_EQ(domains.size(), 3U);
    }
}

TEST(watchers, are_replaced_if_they_die_or_their_watch_fails)
{
    auto members = fleet_of(8, 4);
    const auto first = choose_watchers(members, 3);
    for (auto& entry : members) {
        if (entry.info.vm == first[0]) {
            entry.state = member_state::dead;
        }
        entry.info.watch_failing = entry.info.vm == first[1];
    }
    const auto next = choose_watchers(members, 3);
    EXPECT_EQ(next.size(), 3U);
    EXPECT_EQ(std::count(next.begin(), next.end(), first[0]), 0);
    EXPECT_EQ(std::count(next.begin(), next.end(), first[1]), 0);
    EXPECT_EQ(std::count(next.begin(), next.end(), first[2]), 1) << "a working watcher is kept";
}

// The store is down and every watch fails. Without watchers its recovery would not be detected.
TEST(watchers, are_chosen_even_if_all_watches_fail)
{
    auto members = fleet_of(8, 4);
    for (auto& entry : members) {
        entry.info.watch_failing = true;
    }
    EXPECT_EQ(choose_watchers(members, 3).size(), 3U);
}

} // namespace
} // namespace vanillagauge::fleet
