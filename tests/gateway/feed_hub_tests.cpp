#include "deployment.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanillagauge::gateway {
namespace {

/// A configuration is to be in force everywhere this long after the store has acknowledged it.
constexpr milliseconds time_to_apply{2000};

struct four_gateways : deployment {
    standins::fake_replica& replica = add_replica("r1", "plain");

    /// The gateways of these places reach the store at its second address.
    explicit four_gateways(const std::set<int>& at_second = {})
    {
        int place = 0;
        for (const auto* vm : {"a", "b", "c", "d"}) {
            at_second.contains(place++) ? add_gateway_at_second(vm) : add_gateway(vm);
        }
        EXPECT_TRUE(eventually([this] {
            return std::all_of(gateways.begin(), gateways.end(),
                               [](const auto& one) { return one->ready() && addresses_known(*one) == 4; });
        }));
    }

    static std::size_t addresses_known(running_gateway& served)
    {
        return served.ask<std::size_t>(
            [](gateway& asked) { return asked.addresses().front_addresses.size(); });
    }

    /// How long after now each gateway still answers 404 on the added route, at the longest.
    milliseconds time_until_all_serve_the_added_route()
    {
        const auto begun = steady::now();
        int turn = 0;
        eventually([&] {
            return std::all_of(gateways.begin(), gateways.end(), [&](const auto& one) {
                const auto id = "p" + std::to_string(++turn);
                return status_of(one->address(), make_request("/added/1", id)) == 200;
            });
        });
        return std::chrono::duration_cast<milliseconds>(steady::now() - begun);
    }
};

// The store falls silent to three of four gateways, on connections that look sound, whichever of them watch.
// The operator adds a route. A gateway that took a watcher's "nothing new" for news would answer its callers
// 404 until the watcher's connection is found dead.
TEST(feed_hub, learns_of_a_configuration_while_the_store_is_silent_to_the_watchers)
{
    for (const std::set<int>& silent : {std::set{1, 2, 3}, {0, 2, 3}, {0, 1, 3}, {0, 1, 2}}) {
        four_gateways all(silent);
        all.change([](standins::fake_store& store) { store.faults.second_silent = true; });
        all.put_configuration(2);
        EXPECT_LT(all.time_until_all_serve_the_added_route(), time_to_apply);
    }
}

// VMs that start at the same moment, with no seed that lives, find each other through the store.
TEST(feed_hub, meets_gateways_that_started_at_the_same_moment)
{
    for (int turn = 0; turn < 3; ++turn) {
        four_gateways all;
    }
}

TEST(feed_hub, learns_of_a_configuration_while_the_store_refuses_everybody_for_a_moment)
{
    four_gateways all;
    all.change([](standins::fake_store& store) { store.faults.refuse = true; });
    std::this_thread::sleep_for(milliseconds(1500));
    all.change([](standins::fake_store& store) { store.faults.refuse = false; });
    all.put_configuration(2);
    EXPECT_LT(all.time_until_all_serve_the_added_route(), time_to_apply);
}

} // namespace
} // namespace vanillagauge::gateway
