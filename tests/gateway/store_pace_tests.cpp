// How often gateways call the store, whatever it answers.
#include "deployment.hpp"
#include "policy/copy_age.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace vanillagauge::gateway {
namespace {

constexpr int feeds_of_a_gateway = 5;
constexpr milliseconds measured_time{2000};

/// A watch whose changes come fast costs a call in each `coalescing_delay`; no answer may cost more.
constexpr std::uint64_t max_calls_of_a_feed = measured_time / policy::coalescing_delay;

/// All gateways together.
constexpr std::uint64_t max_reads_per_second = 2000;
constexpr std::uint64_t watching_gateways = 3;
static_assert(max_calls_of_a_feed * feeds_of_a_gateway * watching_gateways <
              max_reads_per_second * std::chrono::floor<seconds>(measured_time).count() / 10);

struct two_gateways : deployment {
    standins::fake_replica& replica = add_replica("r1", "plain");

    two_gateways()
    {
        add_gateway("a");
        add_gateway("b");
        EXPECT_TRUE(eventually(
            [this] { return gateways.front()->ready() && gateways.back()->ready() && peers_known() == 2; }));
    }

    std::size_t peers_known()
    {
        return gateways.back()->query<std::size_t>(
            [](gateway& asked) { return asked.addresses().front_addresses.size(); });
    }
    std::uint64_t read_calls()
    {
        return inspect_store<std::uint64_t>([](standins::fake_store& store) { return store.read_calls(); });
    }
    std::uint64_t read_calls_in_measured_time()
    {
        const auto before = read_calls();
        std::this_thread::sleep_for(measured_time);
        return read_calls() - before;
    }
    void set_faults(const standins::store_faults& faults)
    {
        modify_store([&faults](standins::fake_store& store) { store.faults = faults; });
    }
    /// Time until both gateways serve the route that the second configuration adds.
    milliseconds time_until_added_route()
    {
        const auto begun = steady::now();
        int turn = 0;
        EXPECT_TRUE(eventually([&] {
            return std::all_of(gateways.begin(), gateways.end(), [&](const auto& one) {
                const auto id = "p" + std::to_string(++turn);
                return status_of(one->address(), make_request("/added/1", id)) == 200;
            });
        }));
        return std::chrono::duration_cast<milliseconds>(steady::now() - begun);
    }
};

constexpr std::uint64_t max_calls = max_calls_of_a_feed * feeds_of_a_gateway * 2;

// Guards against watches that end at once and are asked again at once, thousands of times a second.
TEST(store_pace, is_bounded_whatever_revision_the_store_gives)
{
    for (const std::uint64_t revision : {0U, 1U, 100U, 101U, 1000U}) {
        two_gateways all;
        standins::store_faults faults;
        faults.stated_revision = revision;
        all.set_faults(faults);
        EXPECT_LE(all.read_calls_in_measured_time(), max_calls) << "AsOf " << revision;
    }
}

TEST(store_pace, is_bounded_if_the_store_gives_one_revision_from_the_start)
{
    deployment all;
    all.add_replica("r1", "plain");
    all.modify_store([](standins::fake_store& store) { store.faults.stated_revision = 0; });
    all.add_gateway("a");
    all.add_gateway("b");
    std::this_thread::sleep_for(measured_time);
    const auto calls =
        all.inspect_store<std::uint64_t>([](standins::fake_store& store) { return store.read_calls(); });
    EXPECT_LE(calls, max_calls);
}

TEST(store_pace, is_bounded_however_the_store_ends_watches)
{
    for (const auto end :
         {standins::watch_end::at_once, standins::watch_end::refused, standins::watch_end::history_gone}) {
        two_gateways all;
        standins::store_faults faults;
        faults.end_watches = end;
        all.set_faults(faults);
        EXPECT_LE(all.read_calls_in_measured_time(), max_calls) << static_cast<int>(end);
    }
}

// Guards against a bound on calls that keeps a change from callers.
TEST(store_pace, applies_configuration_in_time_however_the_store_ends_watches)
{
    for (const auto end :
         {standins::watch_end::at_once, standins::watch_end::refused, standins::watch_end::history_gone}) {
        two_gateways all;
        standins::store_faults faults;
        faults.end_watches = end;
        all.set_faults(faults);
        std::this_thread::sleep_for(measured_time);
        all.put_configuration(2);
        EXPECT_LT(all.time_until_added_route(), policy::max_change_time) << static_cast<int>(end);
    }
}

// Guards against a watch for each change that cannot be read, where a burst of others costs one.
TEST(store_pace, is_bounded_while_changes_without_a_name_come_fast)
{
    constexpr const char* kind = "servers";
    constexpr milliseconds interval{50};
    two_gateways all;
    const auto calls = [&all] {
        return all.inspect_store<std::uint64_t>(
            [](standins::fake_store& store) { return store.read_calls(kind); });
    };
    const auto before = calls();
    const auto until = steady::now() + measured_time;
    while (steady::now() < until) {
        all.modify_store([](standins::fake_store& store) {
            const auto revision = std::to_string(store.revision() + 1);
            store.put_text(kind, "odd", R"({"Metadata":{"Revision":)" + revision + "}}");
        });
        std::this_thread::sleep_for(interval);
    }
    EXPECT_LE(calls() - before, 2 * max_calls_of_a_feed);
}

} // namespace
} // namespace vanillagauge::gateway
