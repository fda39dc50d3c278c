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

TEST(membership, suspects_a_silent_vm_before_declaring_it_dead)
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

TEST(membership, readmits_a_restarted_vm_with_its_new_incarnation)
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

// A VM restarts with its clock set back, so its new incarnation is lower than the one in its peers' views.
// They would ignore its updates and declare it dead unless it supersedes the former incarnation.
TEST(membership, readmits_a_restarted_vm_whose_clock_is_behind)
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

// A VM is replaced by another at the same address. If the new one acknowledged probes of the old one, the old
// one would never be declared dead.
TEST(membership, a_replacement_does_not_answer_probes_of_its_predecessor)
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
    EXPECT_EQ(successor.view().find("vm-003"), nullptr) << "its predecessor is not in its view";
    for (const auto* vm : {"vm-000", "vm-001", "vm-002", "vm-004", "vm-005", "vm-006", "vm-007"}) {
        EXPECT_EQ(fleet.seen(vm, "vm-003"), member_state::dead) << vm;
        EXPECT_EQ(fleet.seen(vm, "vm-103"), member_state::alive) << vm;
    }
}

// A VM paused for longer than the suspicion timeout is declared dead and resumes with all its probes overdue.
// It must not suspect its peers, and must recover by itself.
TEST(membership, a_vm_suspects_no_peer_after_a_pause_and_recovers)
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

TEST(membership, a_pause_shorter_than_the_suspicion_timeout_causes_no_death)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.at("vm-003").paused = true;
    bool declared_dead = false;
    const auto watch = [&] {
        declared_dead = declared_dead || fleet.seen("vm-000", "vm-003") == member_state::dead;
        return false;
    };
    fleet.run_until(watch, milliseconds{1400});
    fleet.at("vm-003").paused = false;
    fleet.run_until(watch, detection_bound);
    EXPECT_FALSE(declared_dead);
    EXPECT_TRUE(fleet.all_alive_everywhere());
}

// A VM receives but cannot send: it is declared dead although it refutes each update. It must detect that it
// is isolated, so that it no longer offers itself to callers.
TEST(membership, a_vm_that_cannot_send_is_declared_dead_and_detects_its_isolation)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.passes = [](const std::string& from, const std::string&) { return from != "vm-003"; };
    fleet.run(2 * detection_bound);
    EXPECT_TRUE(fleet.all_see("vm-003", member_state::dead));
    EXPECT_TRUE(fleet.at("vm-003").detector->view().isolated());
    EXPECT_FALSE(fleet.at("vm-000").detector->view().isolated());
}

TEST(membership, a_vm_that_cannot_receive_is_declared_dead_and_detects_its_isolation)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.passes = [](const std::string&, const std::string& to) { return to != "vm-003"; };
    fleet.run(2 * detection_bound);
    EXPECT_TRUE(fleet.all_see("vm-003", member_state::dead));
    EXPECT_TRUE(fleet.at("vm-003").detector->view().isolated());
}

// The path between two VMs is broken while both reach all others. Indirect probes must keep the two from
// declaring each other dead.
TEST(membership, a_broken_path_between_two_vms_causes_no_death)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.passes = [](const std::string& from, const std::string& to) {
        return !(from == "vm-003" && to == "vm-004") && !(from == "vm-004" && to == "vm-003");
    };
    bool declared_dead = false;
    fleet.run_until(
        [&] {
            declared_dead = declared_dead || fleet.seen("vm-000", "vm-003") == member_state::dead ||
                            fleet.seen("vm-003", "vm-004") == member_state::dead;
            return false;
        },
        milliseconds{60000});
    EXPECT_FALSE(declared_dead);
}

// Each recovery of a flapping VM would attract callers and each loss cut them off. From the second recovery
// on it is reported as suspect for an increasing time.
TEST(membership, a_flapping_vm_is_damped_until_it_is_stable)
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

// After an hour's partition two regions consider each other dead. They must merge without seeds, and neither
// may declare its own members dead because of the other's outdated updates.
TEST(membership, regions_merge_after_a_long_partition_without_seeds_or_false_suspicions)
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
    bool false_suspicion = false;
    fleet.run_until(
        [&] {
            false_suspicion = false_suspicion || fleet.seen("vm-000", "vm-001") != member_state::alive ||
                              fleet.seen("vm-015", "vm-014") != member_state::alive;
            return fleet.all_alive_everywhere();
        },
        milliseconds{60000});
    EXPECT_TRUE(fleet.all_alive_everywhere());
    EXPECT_FALSE(false_suspicion);
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

// A VM dies while another is paused, and the fleet removes it. It is still alive in the view of the paused
// VM, which must not bring it back into the other views.
TEST(membership, a_removed_vm_is_not_readmitted_from_a_stale_view)
{
    fleet_simulation fleet(8);
    fleet.run(settle);
    fleet.at("vm-003").paused = true;
    fleet.at("vm-004").running = false;
    fleet.run(detection_bound);
    auto removed = fleet.at("vm-003").detector->view().find("vm-004");
    ASSERT_NE(removed, nullptr);
    fleet.machines().erase("vm-004");
    fleet.at("vm-003").paused = false;
    fleet.run(milliseconds{30000});
    for (const auto& [vm, one] : fleet.machines()) {
        EXPECT_EQ(one.detector->view().in_state(member_state::alive).size(), 6U) << vm;
    }
}

TEST(membership, removes_the_dead_after_a_day_and_ignores_deaths_of_unknown_vms)
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

TEST(membership, a_departure_reaches_all_members_within_a_second)
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

// The bytes that a node sends must not grow with the fleet or its events: here a fifth of the fleet fails at
// once.
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
