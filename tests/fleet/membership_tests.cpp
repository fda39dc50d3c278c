#include "fleet/fleet.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::fleet {
namespace {

node node_at(const std::string& vm, std::uint64_t incarnation, std::uint64_t heartbeat)
{
    node item;
    item.vm = vm;
    item.incarnation = incarnation;
    item.heartbeat = heartbeat;
    return item;
}

member_state state_of(const membership& view, const std::string& vm)
{
    for (const auto& entry : view.members()) {
        if (entry.info.vm == vm) {
            return entry.state;
        }
    }
    return member_state::dead;
}

TEST(membership, suspects_and_then_buries_a_silent_vm)
{
    const time_point start{};
    membership view(node_at("a", 1, 0), {}, start);
    view.merge(node_at("b", 1, 1), start);
    view.tick(start + milliseconds{1000});
    EXPECT_EQ(state_of(view, "b"), member_state::alive);
    view.tick(start + milliseconds{2000});
    EXPECT_EQ(state_of(view, "b"), member_state::suspect);
    view.tick(start + milliseconds{4000});
    EXPECT_EQ(state_of(view, "b"), member_state::dead);
}

TEST(membership, takes_a_restarted_vm_back_with_its_new_incarnation)
{
    const time_point start{};
    membership view(node_at("a", 1, 0), {}, start);
    view.merge(node_at("b", 1, 100), start);
    view.tick(start + milliseconds{4000});
    EXPECT_TRUE(view.merge(node_at("b", 2, 1), start + milliseconds{4100}));
    EXPECT_EQ(state_of(view, "b"), member_state::alive);
}

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
