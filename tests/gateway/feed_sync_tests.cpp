#include "deployment.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanillagauge::gateway {
namespace {

/// A configuration is to be in force everywhere this long after the store has acknowledged it.
constexpr milliseconds max_apply_time{2000};

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
        return served.query<std::size_t>(
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
TEST(feed_sync, learns_of_a_configuration_while_the_store_is_silent_to_the_watchers)
{
    for (const std::set<int>& silent : {std::set{1, 2, 3}, {0, 2, 3}, {0, 1, 3}, {0, 1, 2}}) {
        four_gateways all(silent);
        all.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
        all.put_configuration(2);
        EXPECT_LT(all.time_until_all_serve_the_added_route(), max_apply_time);
    }
}

std::size_t replicas_known(running_gateway& served)
{
    const auto page = served.query<std::string>([](gateway& asked) { return asked.metrics_page(); });
    const std::string series = "feed_objects{kind=\"servers\"} ";
    const auto at = page.find(series);
    return at == std::string::npos ? 0 : std::stoul(page.substr(at + series.size()));
}

// Engines load new weights, and each one's entry changes. VMs that serve no callers took all of it, more than
// anything else they sent and received, and used none. Those that watch for the others need it.
TEST(feed_sync, tells_vms_without_callers_only_what_they_use)
{
    deployment all;
    all.add_replica("r1", "plain");
    std::vector<running_gateway*> storage;
    for (const auto* vm : {"s1", "s2", "s3", "s4", "s5"}) {
        storage.push_back(&all.add_gateway_without_callers(vm));
    }
    auto& front = all.add_gateway("a");
    const auto knowing = [&] {
        return std::count_if(storage.begin(), storage.end(),
                             [](auto* served) { return replicas_known(*served) > 0; });
    };
    EXPECT_TRUE(deployment::eventually([&] { return front.ready() && knowing() >= 2; }));
    EXPECT_EQ(all.status_of(front.address(), make_request("/safe/1", "a1")), 200);
    for (const auto* vm : {"s1", "s2", "s3", "s4", "s5"}) {
        all.modify_store([vm](standins::fake_store& store) {
            store.put("retirements", vm, {{"DurationS", 8}});
        });
        EXPECT_TRUE(deployment::eventually([&] {
            const auto entry = all.inspect_store<nlohmann::json>(
                [vm](standins::fake_store& store) { return store.find("retirements", vm); });
            return entry.contains("Status");
        }));
    }
    // Watches that wait from before the VMs knew each other end with the next change. Three watch on; the
    // front may be one of them.
    all.add_replica("r2", "plain");
    EXPECT_TRUE(deployment::eventually([&] { return knowing() <= 3; }));
}

// VMs that start at the same moment, with no seed that lives, find each other through the store.
TEST(feed_sync, meets_gateways_that_started_at_the_same_moment)
{
    for (int turn = 0; turn < 3; ++turn) {
        four_gateways all;
    }
}

TEST(feed_sync, learns_of_a_configuration_while_the_store_refuses_everybody_for_a_moment)
{
    four_gateways all;
    all.modify_store([](standins::fake_store& store) { store.faults.refuse = true; });
    std::this_thread::sleep_for(milliseconds(1500));
    all.modify_store([](standins::fake_store& store) { store.faults.refuse = false; });
    all.put_configuration(2);
    EXPECT_LT(all.time_until_all_serve_the_added_route(), max_apply_time);
}

} // namespace
} // namespace vanillagauge::gateway
