#include "deployment.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanillagauge::gateway {
namespace {

/// Limit from the store's acknowledgement that a replica leaves until the last request reaches it.
constexpr milliseconds max_drain_time{2000};

/// A watcher to which the store stopped responding has noticed it after this time.
constexpr milliseconds noticing_time{2000};

constexpr milliseconds request_interval{10};

/// Four gateways, of which three watch the store, and two replicas. The gateways with the indexes `cut` use
/// the store's second address.
struct cut_off_watchers : deployment {
    standins::fake_replica& staying = add_replica("r1", "plain");
    standins::fake_replica& leaving = add_replica("r2", "plain");
    std::vector<running_gateway*> connected;
    int requests = 0;

    explicit cut_off_watchers(const std::set<int>& cut)
    {
        int place = 0;
        for (const auto* vm : {"a", "b", "c", "d"}) {
            if (cut.contains(place++)) {
                add_gateway_at_second(vm);
            }
            else {
                connected.push_back(&add_gateway(vm));
            }
        }
        EXPECT_TRUE(eventually([this] {
            return std::all_of(gateways.begin(), gateways.end(), [](const auto& one) {
                return one->ready() && one->template query<bool>([](gateway& asked) {
                    return asked.addresses().front_addresses.size() == 4;
                });
            });
        }));
    }
    void cut_off()
    {
        modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    }
    /// Removes the entry of the leaving replica, which never reported that it drains.
    time_point remove_leaving()
    {
        modify_store([](standins::fake_store& store) { store.remove("servers", "r2"); });
        return steady::now();
    }
    /// Sends requests in turn through the gateways that reach the store; returns how many failed.
    int send_until(time_point until)
    {
        int failed = 0;
        while (steady::now() < until) {
            auto& served = *connected[static_cast<std::size_t>(requests) % connected.size()];
            const auto id = "n" + std::to_string(++requests);
            failed += status_of(served.address(), make_request("/safe/1", id)) == 200 ? 0 : 1;
            std::this_thread::sleep_for(request_interval);
        }
        return failed;
    }
    std::size_t received_after(standins::fake_replica& replica, time_point limit)
    {
        return inspect_store<std::size_t>([&](standins::fake_store&) {
            return static_cast<std::size_t>(
                std::count_if(replica.started_requests.begin(), replica.started_requests.end(),
                              [limit](const auto& seen) { return seen.received_at > limit; }));
        });
    }
};

// Guards against a failure on one gateway's way to the store that makes all others keep a replica that left.
TEST(leaving_replicas, get_nothing_late_when_a_watcher_is_cut_off_from_the_store)
{
    cut_off_watchers all({0, 1});
    all.cut_off();
    all.send_until(steady::now() + noticing_time);
    const auto removed_at = all.remove_leaving();
    all.send_until(removed_at + max_drain_time + milliseconds(1000));
    EXPECT_GT(all.received_after(all.staying, removed_at), 0U);
    EXPECT_EQ(all.received_after(all.leaving, removed_at + max_drain_time), 0U);
}

// Guards against refused requests after an outage in which the entries of living replicas expired.
TEST(leaving_replicas, are_told_from_those_whose_entries_expired_in_an_outage)
{
    constexpr milliseconds outage{2000};
    constexpr milliseconds renewal_time{1500};
    cut_off_watchers all({});
    all.modify_store([](standins::fake_store& store) { store.faults.refuse = true; });
    int failed = all.send_until(steady::now() + outage);
    all.modify_store([](standins::fake_store& store) {
        store.remove("servers", "r1");
        store.remove("servers", "r2");
        store.faults.refuse = false;
    });
    const auto back_at = steady::now();
    failed += all.send_until(back_at + renewal_time);
    all.put_replica(all.staying, "plain", "ready");
    failed += all.send_until(back_at + seconds(4));
    EXPECT_EQ(failed, 0);
    EXPECT_EQ(all.received_after(all.leaving, back_at + seconds(3)), 0U) << "its entry has not come back";
}

} // namespace
} // namespace vanillagauge::gateway
