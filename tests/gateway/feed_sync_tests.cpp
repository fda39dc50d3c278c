#include "deployment.hpp"

#include <gtest/gtest.h>

#include <future>
#include <optional>
#include <set>

namespace vanillagauge::gateway {
namespace {

/// Limit from the store's acknowledgement of a configuration until every gateway applies it.
constexpr milliseconds max_apply_time{2000};

struct four_gateways : deployment {
    standins::fake_replica& replica = add_replica("r1", "plain");

    /// Gateways with these indexes use the store's second address.
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

    /// Time until every gateway serves the added route.
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

// Guards against a gateway that trusts a "no change" from a watcher to which the store stopped responding on
// an open connection, and so misses a new route.
TEST(feed_sync, applies_configuration_when_store_ignores_watchers)
{
    for (const std::set<int>& silent : {std::set{1, 2, 3}, {0, 2, 3}, {0, 1, 3}, {0, 1, 2}}) {
        four_gateways all(silent);
        all.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
        all.put_configuration(2);
        EXPECT_LT(all.time_until_all_serve_the_added_route(), max_apply_time);
    }
}

// Guards against watches whose answers were lost while the store answers every other call: the copy would be
// taken for current, and an old configuration be served until the watches end.
TEST(feed_sync, applies_configuration_whose_news_was_lost)
{
    four_gateways all;
    std::this_thread::sleep_for(milliseconds(1500)); // watches are under way
    all.modify_store([](standins::fake_store& store) { store.faults.lose_watches = true; });
    all.put_configuration(2);
    std::this_thread::sleep_for(milliseconds(60));
    all.modify_store([](standins::fake_store& store) { store.faults.lose_watches = false; });
    EXPECT_LT(all.time_until_all_serve_the_added_route(), max_apply_time);
}

// Guards against a watcher that passes its copy on as current while the store is silent to it, so that the
// gateways that poll it begin to count its age only once a call has failed.
TEST(feed_sync, copies_age_from_the_last_answer_of_the_store)
{
    four_gateways all({0, 1, 2, 3});
    std::this_thread::sleep_for(milliseconds(2000)); // polls are under way
    all.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    constexpr milliseconds silence{450};
    std::this_thread::sleep_for(silence);
    for (const auto& served : all.gateways) {
        for (const auto* kind : {"config", "servers"}) {
            EXPECT_GE(gauge_of(*served, "feed_age_ms", kind).value_or(0),
                      static_cast<double>(silence.count()));
        }
    }
}

// Guards against sending replica updates to VMs that serve no callers and don't watch the store.
TEST(feed_sync, sends_only_used_kinds_to_vms_without_callers)
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
    // Watches started before the VMs discovered each other end with the next change. Three remain, of which
    // the front may be one.
    all.add_replica("r2", "plain");
    EXPECT_TRUE(deployment::eventually([&] { return knowing() <= 3; }));
}

// Guards against VMs that start together without a live seed and stay isolated.
TEST(feed_sync, discovers_gateways_started_simultaneously)
{
    for (int turn = 0; turn < 3; ++turn) {
        four_gateways all;
    }
}

/// Statuses of the answers to requests for an added route. The request and the change of the configuration
/// wait together for a gateway that is held up for three seconds, `after` its start.
std::vector<int> statuses_after_a_pause(milliseconds after)
{
    deployment all;
    all.add_replica("r1", "plain");
    auto& served = all.add_gateway("a");
    EXPECT_TRUE(deployment::eventually(
        [&] { return all.status_of(served.address(), make_request("/safe/1", "warm")) == 200; }));
    std::this_thread::sleep_for(after);
    const auto pause = std::async(std::launch::async, [&served] {
        return served.query<bool>([](gateway&) {
            std::this_thread::sleep_for(milliseconds(3000));
            return true;
        });
    });
    std::this_thread::sleep_for(milliseconds(100));
    all.put_configuration(2);
    constexpr int requests = 4;
    std::vector<std::future<int>> answers;
    answers.reserve(requests);
    for (int turn = 0; turn < requests; ++turn) {
        answers.push_back(std::async(std::launch::async, [&all, &served, turn] {
            return all.status_of(served.address(), make_request("/added/1", "p" + std::to_string(turn)));
        }));
    }
    std::vector<int> statuses;
    statuses.reserve(requests);
    for (auto& answer : answers) {
        statuses.push_back(answer.get());
    }
    return statuses;
}

// Guards against a 404 by a configuration that was replaced while the gateway was held up.
TEST(feed_sync, refuses_no_route_by_the_copy_of_before_a_pause)
{
    const std::vector<int> served(4, 200);
    EXPECT_EQ(statuses_after_a_pause(milliseconds(0)), served) << "between two watches";
    EXPECT_EQ(statuses_after_a_pause(milliseconds(700)), served) << "while a watch is pending";
}

// Guards against a replica that works on after its caller has left, because the time that the request waited
// for a newer configuration was not taken off its deadline.
TEST(feed_sync, takes_its_wait_off_the_deadline_of_a_request)
{
    constexpr milliseconds deadline{1500};
    constexpr milliseconds shortest_wait{200};
    constexpr milliseconds time_on_the_way{150};
    deployment all;
    auto& plain = all.add_replica("r1", "plain");
    auto& served = all.add_gateway_at_second("a");
    EXPECT_TRUE(deployment::eventually(
        [&] { return all.status_of(served.address(), make_request("/safe/1", "warm")) == 200; }));
    all.modify_store([](standins::fake_store& store) { store.faults.second_silent = true; });
    served.query<bool>([](gateway&) {
        std::this_thread::sleep_for(milliseconds(3000));
        return true;
    });
    auto request = make_request("/safe/1", "a1");
    request.fields.set("Deadline-Ms", std::to_string(deadline.count()));
    const auto sent_at = steady::now();
    EXPECT_EQ(all.status_of(served.address(), request), 200);
    const auto seen = all.inspect_store<standins::received_request>(
        [&](standins::fake_store&) { return plain.started_requests.back(); });
    ASSERT_EQ(seen.attempt_id, "a1");
    const auto waited = seen.received_at - sent_at;
    EXPECT_GE(waited, shortest_wait) << "the copy was young enough: nothing was tested";
    EXPECT_LE(milliseconds{std::stoi(seen.deadline_ms)}, deadline - waited + time_on_the_way);
}

TEST(feed_sync, applies_configuration_after_brief_store_refusal)
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
