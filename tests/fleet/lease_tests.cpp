#include "fleet/fleet.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanillagauge::fleet {
namespace {

constexpr lease_timing timing{};
const milliseconds takeover = timing.ttl + timing.clock_margin + timing.max_order_time;

/// An in-memory store of leases.
struct lease_store {
    std::map<std::string, lease_record> records;
    std::uint64_t revision = 0;

    std::vector<lease_record> list() const
    {
        std::vector<lease_record> found;
        for (const auto& [vm, record] : records) {
            found.push_back(record);
        }
        return found;
    }

    std::uint64_t renew(const std::string& vm, milliseconds ttl)
    {
        records[vm] = {vm, ++revision, ttl};
        return revision;
    }

    void cycle(lease_cycle& holder, const std::string& vm, time_point now)
    {
        if (holder.begin(now)) {
            const auto update = holder.listed(list(), now);
            holder.renewed(renew(vm, update.ttl), now);
        }
    }
};

TEST(lease, is_effective_only_after_holders_unaware_of_it_have_expired)
{
    lease_store store;
    lease_cycle a("a", timing);
    time_point now{};
    store.cycle(a, "a", now);
    EXPECT_EQ(a.held(now).fencing_token, 0U);
    for (; now - time_point{} < takeover + seconds{1}; now += seconds{1}) {
        store.cycle(a, "a", now);
    }
    EXPECT_NE(a.held(now).fencing_token, 0U);
}

// A holder that is paused beyond the end of its lease must not act on keys that another VM owns by now.
TEST(lease, expires_during_a_pause_of_its_holder)
{
    lease_store store;
    lease_cycle a("a", timing);
    time_point now{};
    for (; now - time_point{} < 2 * takeover; now += seconds{1}) {
        store.cycle(a, "a", now);
    }
    ASSERT_NE(a.held(now).fencing_token, 0U);
    now += timing.ttl;
    EXPECT_EQ(a.held(now).fencing_token, 0U);
    EXPECT_EQ(a.owner_of("job/x", now), "");
}

// The holder is paused between sending a renewal and reading its reply. If the lease ran from the reading, it
// would be too long by the pause.
TEST(lease, a_reply_read_after_a_pause_does_not_extend_it)
{
    lease_store store;
    lease_cycle a("a", timing);
    time_point now{};
    for (; now - time_point{} < 2 * takeover; now += seconds{1}) {
        store.cycle(a, "a", now);
    }
    now += timing.renew_interval;
    ASSERT_TRUE(a.begin(now));
    const auto update = a.listed(store.list(), now);
    const auto version = store.renew("a", update.ttl);
    now += timing.ttl + seconds{1};
    a.renewed(version, now);
    EXPECT_EQ(a.held(now).fencing_token, 0U);
}

TEST(lease, an_unknown_outcome_does_not_extend_it_and_is_retried)
{
    lease_cycle a("a", timing);
    const time_point now{};
    ASSERT_TRUE(a.begin(now));
    a.listed({}, now);
    a.failed(now);
    EXPECT_EQ(a.held(now).fencing_token, 0U);
    EXPECT_FALSE(a.begin(now + milliseconds{500}));
    EXPECT_TRUE(a.begin(now + milliseconds{1000}));
}

// A late order of a dead holder may arrive after the takeover. Its fencing token must be below all those of
// the new owner, though the new owner's lease is older.
TEST(lease, the_fencing_token_after_a_takeover_exceeds_those_of_the_expired_holder)
{
    lease_store store;
    lease_cycle a("a", timing);
    lease_cycle b("b", timing);
    time_point now{};
    for (; now - time_point{} < 2 * takeover; now += seconds{1}) {
        store.cycle(b, "b", now);
        store.cycle(a, "a", now);
    }
    std::string key;
    for (int index = 0; key.empty(); ++index) {
        const auto name = "job/" + std::to_string(index);
        key = b.owner_of(name, now) == "a" ? name : "";
    }
    const auto last_of_a = a.held(now).fencing_token;
    const auto a_until = now + a.held(now).remaining;
    while (b.owner_of(key, now) == "a") {
        now += seconds{1};
        store.cycle(b, "b", now);
    }
    EXPECT_EQ(b.owner_of(key, now), "b");
    EXPECT_GT(b.held(now).fencing_token, last_of_a);
    EXPECT_GE(now, a_until + timing.max_order_time)
        << "an order in flight when the lease expired has arrived";
}

TEST(lease, only_the_keys_of_a_dead_holder_move_and_spread_over_the_others)
{
    lease_store store;
    std::map<std::string, lease_cycle> cycles;
    for (const auto* vm : {"a", "b", "c", "d"}) {
        cycles.emplace(vm, lease_cycle(vm, timing));
    }
    time_point now{};
    const auto run = [&](const std::string& without, milliseconds span) {
        for (const auto end = now + span; now < end; now += seconds{1}) {
            for (auto& [vm, cycle] : cycles) {
                if (vm != without) {
                    store.cycle(cycle, vm, now);
                }
            }
        }
    };
    run("", 2 * takeover);
    std::map<std::string, std::string> before;
    for (int index = 0; index < 100; ++index) {
        const auto key = "job/" + std::to_string(index);
        before[key] = cycles.at("b").owner_of(key, now);
    }
    run("a", 3 * takeover);
    std::set<std::string> new_owners;
    for (const auto& [key, owner] : before) {
        const auto after = cycles.at("b").owner_of(key, now);
        if (owner == "a") {
            new_owners.insert(after);
        }
        else {
            EXPECT_EQ(after, owner) << key;
        }
    }
    EXPECT_EQ(new_owners, (std::set<std::string>{"b", "c", "d"}));
}

TEST(lease, is_abandoned_only_if_unchanged_for_long)
{
    lease_store store;
    lease_cycle a("a", timing);
    lease_cycle b("b", timing);
    time_point now{};
    store.renew("gone", timing.ttl);
    for (; now - time_point{} < std::chrono::minutes{11}; now += seconds{1}) {
        store.cycle(a, "a", now);
        store.cycle(b, "b", now);
    }
    const auto abandoned = a.abandoned(now);
    ASSERT_EQ(abandoned.size(), 1U);
    EXPECT_EQ(abandoned.front().vm, "gone");
}

TEST(lease, renewals_of_the_fleet_stay_below_a_fixed_rate)
{
    constexpr std::size_t members = 350;
    const auto large = lease_timing_for(members);
    EXPECT_LE(static_cast<double>(members) / std::chrono::duration<double>(large.renew_interval).count(),
              16.1);
    EXPECT_EQ(lease_timing_for(8).renew_interval, milliseconds{5000});
}

// Guards against two owners of a key: a lease whose stored time overflows a clock seemed to have expired.
TEST(lease, of_an_immense_time_holds)
{
    lease_store store;
    lease_cycle a("a", timing);
    store.renew("b", milliseconds::max());
    store.renew("c", milliseconds{std::numeric_limits<std::int64_t>::max() / 1000});
    time_point now{};
    for (; now - time_point{} < takeover + seconds{1}; now += seconds{1}) {
        store.cycle(a, "a", now);
    }
    ASSERT_NE(a.held(now).fencing_token, 0U);
    std::set<std::string> owners;
    for (int key = 0; key < 50; ++key) {
        owners.insert(a.owner_of("key" + std::to_string(key), now));
    }
    EXPECT_TRUE(owners.contains("b") && owners.contains("c")) << testing::PrintToString(owners);
}

} // namespace
} // namespace vanillagauge::fleet
