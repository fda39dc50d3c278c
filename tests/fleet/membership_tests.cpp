#include "fleet_simulation.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::fleet {
namespace {

constexpr milliseconds settle{3000};
constexpr milliseconds detection_bound{8000};

std::string domain_of(fleet_simulation& fleet, const std::string& vm)
{
    return fleet.at(vm).detector->view().self().failure_domain;
}

TEST(membership, suspects_and_then_buries_a_silent_vm)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.at("vm-003").running = false;
    bool suspected = false;
    fleet.run_until(
        [&] {
            suspected = suspected || fleet.seen("vm-000", "vm-003") == member_state::suspect;
            return fleet.all_see("vm-003", member_state::dead);
        },
        detection_bound);
    EXPECT_TRUE(suspected);
    EXPECT_TRUE(fleet.all_see("vm-003", member_state::dead));
    EXPECT_EQ(fleet.seen("vm-000", "vm-004"), member_state::alive);
}

TEST(membership, takes_a_restarted_vm_back_with_its_new_incarnation)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.at("vm-003").running = false;
    fleet.run(detection_bound);
    fleet.start("vm-003", "domain-3", 2);
    fleet.join("vm-003", "vm-000");
    fleet.run_until([&] { return fleet.all_alive_everywhere(); }, detection_bound);
    EXPECT_TRUE(fleet.all_alive_everywhere());
    EXPECT_EQ(fleet.at("vm-005").detector->view().find("vm-003")->incarnation, 2U);
}

// A VM restarts with a clock that lies behind: its new incarnation is lower than the one its peers know. They
// would ignore all it says and bury it while it runs. It meets the claim about its former life and states
// itself above it.
TEST(membership, a_restarted_vm_with_an_older_clock_is_taken_back)
{
    fleet_simulation fleet(8);
    fleet.start("vm-003", "domain-3", 1000);
    fleet.join("vm-003", "vm-000");
    fleet.run(settle);
    fleet.at("vm-003").running = false;
    fleet.run(detection_bound);
    fleet.start("vm-003", "domain-3", 5);
    fleet.join("vm-003", "vm-000");
    fleet.run_until([&] { return fleet.all_alive_everywhere(); }, detection_bound);
    EXPECT_TRUE(fleet.all_alive_everywhere());
}

// A VM is replaced by another at the same address. Probes meant for the old one reach the new one; if it
// answered them the old one would live on for ever and its work with it.
TEST(membership, a_replaced_vm_does_not_answer_for_its_predecessor)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.at("vm-003").running = false;
    auto& successor = fleet.start("vm-103", "domain-3", 2);
    fleet.run(settle);
    datagram ping;
    ping.from = "vm-000";
    ping.from_address = "vm-000";
    ping.to = "vm-003";
    EXPECT_TRUE(successor.receive(ping, fleet.now()).empty());
    fleet.join("vm-103", "vm-000");
    fleet.run(detection_bound);
    EXPECT_EQ(successor.view().find("vm-003"), nullptr) << "it never met its predecessor";
    for (const auto* vm : {"vm-000", "vm-001", "vm-002", "vm-004", "vm-005", "vm-006", "vm-007"}) {
        EXPECT_EQ(fleet.seen(vm, "vm-003"), member_state::dead) << vm;
        EXPECT_EQ(fleet.seen(vm, "vm-103"), member_state::alive) << vm;
    }
}

// A VM pauses for longer than a suspicion lasts. Its peers bury it; it wakes with every probe overdue. It
// must not accuse its peers, and it must be back without anyone's help.
TEST(membership, a_paused_vm_accuses_nobody_when_it_wakes_and_returns)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.at("vm-003").paused = true;
    fleet.run(detection_bound);
    EXPECT_TRUE(fleet.all_see("vm-003", member_state::dead));
    fleet.at("vm-003").paused = false;
    for (int index = 0; index < 60; ++index) {
        fleet.run(fleet_simulation::step);
        for (const auto& seen : fleet.at("vm-003").detector->view().members()) {
            ASSERT_EQ(seen.state, member_state::alive) << seen.info.vm;
        }
    }
    fleet.run_until([&] { return fleet.all_alive_everywhere(); }, detection_bound);
    EXPECT_TRUE(fleet.all_alive_everywhere());
}

TEST(membership, a_vm_paused_shorter_than_the_suspicion_is_never_buried)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.at("vm-003").paused = true;
    bool buried = false;
    const auto watch = [&] {
        buried = buried || fleet.seen("vm-000", "vm-003") == member_state::dead;
        return false;
    };
    fleet.run_until(watch, milliseconds{1400});
    fleet.at("vm-003").paused = false;
    fleet.run_until(watch, detection_bound);
    EXPECT_FALSE(buried);
    EXPECT_TRUE(fleet.all_alive_everywhere());
}

// A VM hears but is not heard. Nobody gets its answers, so it is buried though it refutes each claim; it gets
// no answer to its own probes and must know that it is cut off, so that it stops offering itself to callers.
TEST(membership, a_vm_that_hears_but_is_not_heard_is_buried_and_knows_that_it_is_isolated)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.passes = [](const std::string& from, const std::string&) { return from != "vm-003"; };
    fleet.run(2 * detection_bound);
    EXPECT_TRUE(fleet.all_see("vm-003", member_state::dead));
    EXPECT_TRUE(fleet.at("vm-003").detector->view().isolated());
    EXPECT_FALSE(fleet.at("vm-000").detector->view().isolated());
}

TEST(membership, a_vm_that_is_heard_but_does_not_hear_is_buried_and_knows_that_it_is_isolated)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.passes = [](const std::string&, const std::string& to) { return to != "vm-003"; };
    fleet.run(2 * detection_bound);
    EXPECT_TRUE(fleet.all_see("vm-003", member_state::dead));
    EXPECT_TRUE(fleet.at("vm-003").detector->view().isolated());
}

// The path between two VMs is broken while both reach all others. The two must not bury each other: the
// others probe for them.
TEST(membership, one_broken_path_between_two_vms_buries_neither)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.passes = [](const std::string& from, const std::string& to) {
        return !(from == "vm-003" && to == "vm-004") && !(from == "vm-004" && to == "vm-003");
    };
    bool buried = false;
    fleet.run_until(
        [&] {
            buried = buried || fleet.seen("vm-000", "vm-003") == member_state::dead ||
                     fleet.seen("vm-003", "vm-004") == member_state::dead;
            return false;
        },
        milliseconds{60000});
    EXPECT_FALSE(buried);
}

// The link of a VM comes and goes. Each return would pull callers to it, each loss would cut them off. From
// the second return on it is shown as suspect for longer and longer.
TEST(membership, a_flapping_vm_is_held_back_and_taken_again_once_it_stays)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    bool cut = false;
    fleet.passes = [&cut](const std::string& from, const std::string& to) {
        return !cut || (from != "vm-003" && to != "vm-003");
    };
    for (int flap = 0; flap < 4; ++flap) {
        cut = true;
        fleet.run_until([&] { return fleet.all_see("vm-003", member_state::dead); }, detection_bound);
        cut = false;
        fleet.run_until([&] { return fleet.seen("vm-000", "vm-003") != member_state::dead; },
                        milliseconds{60000});
    }
    EXPECT_EQ(fleet.seen("vm-000", "vm-003"), member_state::suspect);
    fleet.run(milliseconds{70000});
    EXPECT_TRUE(fleet.all_see("vm-003", member_state::alive));
}

// Two regions lose each other for an hour and hold each other for dead. When the link is back nobody uses a
// seed; both halves must find each other, and neither may bury its own side with the other's old claims.
TEST(membership, regions_that_lost_each_other_for_an_hour_heal_without_seeds_and_without_burying_anyone)
{
    fleet_simulation fleet(16);
    fleet.run(settle);
    const auto region = [](const std::string& vm) { return vm < "vm-008"; };
    bool cut = true;
    fleet.passes = [&](const std::string& from, const std::string& to) {
        return !cut || region(from) == region(to);
    };
    fleet.run(milliseconds{3600000});
    EXPECT_EQ(fleet.seen("vm-000", "vm-015"), member_state::dead);
    EXPECT_FALSE(fleet.at("vm-000").detector->view().isolated());
    cut = false;
    bool own_side_buried = false;
    fleet.run_until(
        [&] {
            own_side_buried = own_side_buried || fleet.seen("vm-000", "vm-001") != member_state::alive ||
                              fleet.seen("vm-015", "vm-014") != member_state::alive;
            return fleet.all_alive_everywhere();
        },
        milliseconds{60000});
    EXPECT_TRUE(fleet.all_alive_everywhere());
    EXPECT_FALSE(own_side_buried);
}

TEST(membership, a_failure_domain_gone_for_an_hour_knows_it_is_isolated_and_returns)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    bool cut = true;
    fleet.passes = [&](const std::string& from, const std::string& to) {
        return !cut || (domain_of(fleet, from) == "domain-1") == (domain_of(fleet, to) == "domain-1");
    };
    fleet.run(milliseconds{3600000});
    EXPECT_TRUE(fleet.at("vm-001").detector->view().isolated());
    EXPECT_EQ(fleet.seen("vm-001", "vm-005"), member_state::alive);
    cut = false;
    fleet.run_until([&] { return fleet.all_alive_everywhere(); }, milliseconds{60000});
    EXPECT_TRUE(fleet.all_alive_everywhere());
    EXPECT_FALSE(fleet.at("vm-001").detector->view().isolated());
}

// A VM dies while another is away, and the fleet forgets the dead one after its time. The one that returns
// still holds it for alive and would bring it back for everyone; its own probes must end that, and no view
// may keep it alive.
TEST(membership, a_forgotten_vm_is_not_resurrected_by_one_that_was_away)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.at("vm-003").paused = true;
    fleet.at("vm-004").running = false;
    fleet.run(detection_bound);
    auto gone = fleet.at("vm-003").detector->view().find("vm-004");
    ASSERT_NE(gone, nullptr);
    fleet.machines().erase("vm-004");
    fleet.at("vm-003").paused = false;
    fleet.run(milliseconds{30000});
    for (const auto& [vm, one] : fleet.machines()) {
        EXPECT_EQ(one.detector->view().in_state(member_state::alive).size(), 6U) << vm;
    }
}

TEST(membership, forgets_the_dead_after_a_day_and_takes_no_death_of_a_stranger)
{
    node self;
    self.vm = "a";
    self.incarnation = 1;
    membership view(self, {}, time_point{});
    node other = self;
    other.vm = "b";
    view.merge({other, member_state::alive}, time_point{});
    view.suspect("b", time_point{});
    view.tick(time_point{} + seconds{10});
    ASSERT_EQ(view.in_state(member_state::dead).size(), 1U);
    view.tick(time_point{} + std::chrono::hours{25});
    EXPECT_EQ(view.find("b"), nullptr);
    EXPECT_FALSE(view.merge({other, member_state::dead}, time_point{} + std::chrono::hours{25}));
    EXPECT_EQ(view.find("b"), nullptr);
}

TEST(membership, a_vm_that_leaves_is_known_to_have_left_within_a_second)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    auto& leaver = fleet.at("vm-003");
    for (auto& action : leaver.detector->leave(fleet.now())) {
        const auto& send = std::get<send_datagram>(action);
        fleet.at(send.address).inbox.push_back(send.message);
    }
    leaver.running = false;
    fleet.run(milliseconds{1000});
    EXPECT_TRUE(fleet.all_see("vm-003", member_state::left));
}

// The bytes that a node sends may not grow with the fleet, nor with what happens in it: here a fifth of the
// fleet disappears at once.
TEST(membership, a_node_sends_no_more_than_its_budget_while_a_domain_disappears)
{
    constexpr std::size_t size = 100;
    constexpr std::size_t span_seconds = 20;
    fleet_simulation fleet(size, 5);
    fleet.run(settle);
    for (auto& [vm, one] : fleet.machines()) {
        one.running = domain_of(fleet, vm) != "domain-1";
        one.sent_bytes = 0;
    }
    fleet.run(seconds{span_seconds});
    const detector_timing timing;
    const auto bound = timing.bytes_per_second * span_seconds + timing.burst_bytes;
    for (const auto& [vm, one] : fleet.machines()) {
        if (one.running) {
            EXPECT_LE(one.sent_bytes, bound) << vm;
        }
    }
    EXPECT_TRUE(fleet.all_see("vm-001", member_state::dead));
}

} // namespace
} // namespace vanillagauge::fleet
