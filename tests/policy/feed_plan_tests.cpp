#include "policy/copy_age.hpp"
#include "policy/feed_plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace vanillagauge::policy {
namespace {

std::vector<std::string> make_chosen(std::size_t gateways)
{
    std::vector<std::string> chosen;
    for (std::size_t index = 0; index < std::min(gateways, serving_count(gateways)); ++index) {
        chosen.push_back("vm" + std::to_string(index));
    }
    return chosen;
}

std::string name_of(std::size_t gateway)
{
    return "vm" + std::to_string(gateway);
}

// Guards against store calls that grow with the fleet: each change costs one call for each watcher.
TEST(feed_plan, has_the_same_watchers_at_every_size)
{
    for (const std::size_t gateways : {3U, 27U, 66U, 295U, 1000U}) {
        const auto chosen = make_chosen(gateways);
        int steady_watchers = 0;
        int frequent_watchers = 0;
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            const auto self = name_of(gateway);
            const feed_plan plan(chosen, self);
            steady_watchers += plan.watches(feed_pace::steady, {}) ? 1 : 0;
            frequent_watchers += plan.watches(feed_pace::frequent, {}) ? 1 : 0;
        }
        EXPECT_EQ(steady_watchers, 3) << gateways;
        EXPECT_EQ(frequent_watchers, 1) << gateways;
    }
}

// Guards against a gateway that serves the polls of a whole large fleet.
TEST(feed_plan, spreads_the_polls_of_a_large_fleet)
{
    for (const std::size_t gateways : {27U, 295U, 1000U}) {
        const auto chosen = make_chosen(gateways);
        std::map<std::string, std::size_t> polls;
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            const auto self = name_of(gateway);
            const auto sources = feed_plan(chosen, self).sources();
            ASSERT_FALSE(sources.empty());
            EXPECT_EQ(std::count(sources.begin(), sources.end(), self), 0);
            ++polls[sources.front()];
        }
        for (const auto& [vm, count] : polls) {
            EXPECT_LE(count, 60U) << vm << " of " << gateways;
        }
    }
}

// Guards against relays that confirm each other in a circle without any of them asking a watcher.
TEST(feed_plan, lets_serving_gateways_poll_watchers_only)
{
    const auto chosen = make_chosen(295);
    for (const auto& vm : chosen) {
        for (const auto& source : feed_plan(chosen, vm).sources()) {
            EXPECT_LT(std::find(chosen.begin(), chosen.end(), source) - chosen.begin(), 3);
        }
    }
    const std::string second = name_of(1);
    EXPECT_EQ(feed_plan(chosen, second).sources().front(), name_of(0));
}

// Guards against a fleet that sends all polls to one gateway when a watcher is out of reach, and against
// gateways that poll those out of reach again.
TEST(feed_plan, spreads_substitutes_over_the_other_gateways)
{
    constexpr std::size_t gateways = 66;
    const auto chosen = make_chosen(gateways);
    std::vector<std::string> living;
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        living.push_back(name_of(gateway));
    }
    std::map<std::string, std::size_t> polls;
    for (const auto& vm : living) {
        const feed_plan plan(chosen, vm);
        const auto found = plan.substitutes(living);
        ASSERT_FALSE(found.empty());
        EXPECT_EQ(std::count(found.begin(), found.end(), vm), 0);
        for (const auto& source : plan.sources()) {
            EXPECT_EQ(std::count(found.begin(), found.end(), source), 0);
        }
        ++polls[found.front()];
    }
    for (const auto& [vm, count] : polls) {
        EXPECT_LE(count, 8U) << vm;
    }
    EXPECT_TRUE(feed_plan(chosen, living.front()).substitutes({living.front()}).empty());
}

// Guards against a fleet that stays without updates while its watchers are silent, and against one that reads
// the store at once from all gateways.
TEST(feed_plan, asks_the_store_where_no_peer_confirms)
{
    const auto chosen = make_chosen(295);
    const std::string standby = name_of(1);
    const std::string follower = name_of(200);
    EXPECT_TRUE(feed_plan(chosen, standby).watches(feed_pace::frequent, {true, milliseconds(2300)}));
    EXPECT_TRUE(feed_plan(chosen, standby).watches(feed_pace::steady, {true, milliseconds(1400)}));
    // The first watcher's copy of a frequent feed is that old in calm times.
    EXPECT_FALSE(feed_plan(chosen, standby).watches(feed_pace::frequent, {true, milliseconds(1900)}));
    EXPECT_FALSE(feed_plan(chosen, follower).watches(feed_pace::frequent, {true, milliseconds(1400)}));
    EXPECT_TRUE(feed_plan(chosen, follower).watches(feed_pace::frequent, {true, milliseconds(2700)}));
    EXPECT_TRUE(feed_plan(chosen, follower).watches(feed_pace::steady, {true, milliseconds(1400)}));
    // At a start of all gateways the first copies take longer than that to reach the last follower.
    EXPECT_FALSE(feed_plan(chosen, follower).watches(feed_pace::steady, {false, milliseconds(1400)}));
    EXPECT_TRUE(feed_plan(chosen, follower).watches(feed_pace::steady, {false, milliseconds(3100)}));
}

/// A copy that polls its source without pause; each poll is held for the whole poll time.
struct polled_copy {
    feed_plan plan;
    milliseconds poll_time = plan.poll_time();
    time_point requested_at{};
    time_point confirmed{};

    void tick(time_point now, time_point source_confirmed)
    {
        if (now - requested_at < poll_time) {
            return;
        }
        const auto age = std::chrono::ceil<milliseconds>(now - source_confirmed);
        confirmed = std::max(confirmed, time_at_peer(requested_at, poll_time, age));
        requested_at = now + round_trip;
    }

    static constexpr milliseconds round_trip{20};
};

// Guards against a calm large fleet that reads the store over and over, since the copies behind two relays
// seem too old by the time of each poll between them and the store.
TEST(feed_plan, keeps_copies_behind_relays_fresh)
{
    const auto chosen = make_chosen(295);
    const std::string standby = name_of(1);
    const std::string relay = name_of(9);
    const std::string follower = name_of(200);
    const time_point began{seconds(100)};
    struct feed_chain {
        feed_pace pace;
        std::vector<polled_copy> copies; ///< each polls the one before it, the first a watcher of the store
    };
    std::vector<feed_chain> chains{
        {feed_pace::steady, {{feed_plan(chosen, relay)}, {feed_plan(chosen, follower)}}},
        {feed_pace::frequent,
         {{feed_plan(chosen, standby)}, {feed_plan(chosen, relay)}, {feed_plan(chosen, follower)}}}};
    for (auto& chain : chains) {
        for (auto& copy : chain.copies) {
            copy.requested_at = began;
            copy.confirmed = began;
        }
    }
    for (milliseconds at{0}; at < seconds(20); at += milliseconds(10)) {
        const auto now = began + at;
        for (auto& chain : chains) {
            // The watcher's copy is as old as it gets in calm times just before each confirmation.
            const auto cycle = chain.pace == feed_pace::steady ? calm_age_at_first_watcher
                                                               : frequent_watch_time + 2 * hop_allowance;
            auto source_confirmed = began + at / cycle * cycle;
            for (auto& copy : chain.copies) {
                copy.tick(now, source_confirmed);
                source_confirmed = copy.confirmed;
                EXPECT_FALSE(copy.plan.watches(chain.pace, {true, now - copy.confirmed}))
                    << copy.poll_time.count() << " at " << at.count();
            }
        }
    }
}

} // namespace
} // namespace vanillagauge::policy
