#include "replay.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::traces {
namespace {

/// Replays the trace and checks what holds in every one of them.
outcome sound(const std::string& name, int steps)
{
    auto found = replay(std::string(VG_TRACES) + "/" + name + ".jsonl");
    EXPECT_TRUE(found.differences.empty())
        << found.differences.size() << ", first: " << found.differences.front();
    EXPECT_EQ(found.served_after_acknowledgement, 0);
    EXPECT_EQ(found.unserved_in_closed_steps, 0);
    EXPECT_EQ(found.stale_served, 0);
    EXPECT_EQ(found.served.size(), static_cast<std::size_t>(steps * 6));
    EXPECT_EQ(found.trainer.at("steps"), steps);
    EXPECT_EQ(found.trainer.at("samples"), steps * 6);
    EXPECT_EQ(found.trainer.at("doubled"), 0);
    return found;
}

// An engine dies with streams in the middle of a step. They break, their text is sound, and each goes on at
// another engine from where it stopped.
TEST(trace, of_an_engine_that_crashes_in_the_middle_of_a_step)
{
    const auto found = sound("crash", 3);
    EXPECT_GT(found.broken, 0);
    EXPECT_GT(found.resumed_with_text, 0);
}

// Three loads fail on one engine and one on another. Both are ordered again until they hold the version; the
// trainer gets its steps meanwhile.
TEST(trace, of_a_swap_that_fails_partway)
{
    const auto found = sound("failed_swap", 4);
    EXPECT_EQ(found.orders_failed, 4);
    EXPECT_EQ(found.in_force.size(), 3U);
    for (const auto& [engine, version] : found.in_force) {
        EXPECT_EQ(version, found.announced) << engine;
    }
}

// Chunks of other requests come late on three streams. Each stream is void from there; its sample is made
// anew.
TEST(trace, of_late_chunks_that_crossed)
{
    const auto found = sound("crossed_chunks", 2);
    EXPECT_GE(found.crossed, 3);
    EXPECT_GE(found.broken, 3);
    EXPECT_EQ(found.resumed_with_text, 0);
}

// A reply is lost, and the trainer presents the same cursor again: it gets the same slots a second time.
TEST(trace, of_a_pull_repeated_after_a_lost_reply)
{
    EXPECT_GT(sound("repeated_pull", 3).served_again, 0);
}

// One engine of three answers far slower than the others, and its samples hold the step back. Near the end
// they are raced from their text so far.
TEST(trace, of_a_group_of_stragglers)
{
    EXPECT_GT(sound("stragglers", 3).raced, 0);
}

// The process that orders weights is paused past its lease while its engines ignore fencing numbers. Its
// successor waits the lease and the longest order out; the woken holder gives no order until it holds again.
TEST(trace, of_a_holder_paused_past_its_lease)
{
    const auto found = sound("pause", 8);
    EXPECT_GT(found.orders_refused, 0);
    EXPECT_EQ(found.orders_by_vm.size(), 2U);
}

// The platform dies in the first step and stays away. Leases cannot be renewed; orders go on with the number
// remembered, and so do the steps.
TEST(trace, of_a_store_that_stays_down)
{
    const auto found = sound("outage", 16);
    EXPECT_GT(found.store_failures, 0);
    EXPECT_EQ(found.trainer.at("final_version"), 17);
}

// The platform is down, an engine dies in the middle of a step and a reply is lost.
TEST(trace, of_several_faults_at_once)
{
    const auto found = sound("two_faults", 5);
    EXPECT_GT(found.store_failures, 0);
    EXPECT_GT(found.broken, 0);
    EXPECT_GT(found.served_again, 0);
}

} // namespace
} // namespace vanillagauge::traces
