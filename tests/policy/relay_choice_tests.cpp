#include "fleet/rendezvous.hpp"
#include "policy/relay_choice.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace vanillagauge::policy {
namespace {

const std::vector<hub_candidate> ranked{{"a", "z1"}, {"b", "z1"}, {"c", "z2"}, {"d", "z3"}};

relay_situation make_situation(std::size_t gateways, std::size_t replicas)
{
    return {ranked, gateways, replicas};
}

// Guards against both hubs in one failure domain, whose loss would take them together.
TEST(relay_choice, takes_hubs_of_different_failure_domains)
{
    EXPECT_EQ(choose_hubs(ranked), (std::vector<std::string>{"a", "c"}));
    EXPECT_EQ(choose_hubs({{"a", "z1"}, {"b", "z1"}}), (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(choose_hubs({{"a", "z1"}}), std::vector<std::string>{"a"});
    EXPECT_TRUE(choose_hubs({}).empty());
}

// Guards against relays in fleets whose connections stay in use without them.
TEST(relay_choice, relays_only_above_the_threshold)
{
    const relay_choice choice("x", 64);
    const time_point now{};
    EXPECT_FALSE(choice.choose(make_situation(16, 4), now));
    EXPECT_TRUE(choice.choose(make_situation(17, 4), now));
    EXPECT_FALSE(choice.choose(make_situation(2, 100), now));
    EXPECT_FALSE(choice.choose(make_situation(65, 0), now));
}

// Guards against a second relay of a request, and a hub that sends its requests through the other.
TEST(relay_choice, hub_sends_requests_itself)
{
    EXPECT_FALSE(relay_choice("a", 64).choose(make_situation(65, 4), {}));
    EXPECT_FALSE(relay_choice("c", 64).choose(make_situation(65, 4), {}));
}

// Guards against requests that wait for a lost hub one after another.
TEST(relay_choice, avoids_a_failed_hub_for_three_seconds)
{
    relay_choice choice("x", 64);
    const auto known = make_situation(65, 4);
    const time_point now{seconds(100)};
    const auto usual = choice.choose(known, now);
    ASSERT_TRUE(usual);
    choice.exclude(*usual, now);
    const auto other = choice.choose(known, now + milliseconds(2999));
    ASSERT_TRUE(other);
    EXPECT_NE(*other, *usual);
    choice.exclude(*other, now);
    EXPECT_FALSE(choice.choose(known, now + milliseconds(2999)));
    EXPECT_EQ(choice.choose(known, now + milliseconds(3000)), usual);
}

std::vector<std::string> hubs_of(const std::string& service, const std::vector<std::string>& vms)
{
    std::vector<hub_candidate> candidates;
    for (const auto& vm : fleet::ranked_owners(service, vms)) {
        candidates.push_back({vm, "z" + std::to_string(hash64(vm) % 4)});
    }
    return choose_hubs(candidates);
}

// Guards against connections that are all opened anew when one gateway leaves.
RC_GTEST_PROP(relay_choice_property, only_services_of_the_lost_hub_move, ())
{
    std::vector<std::string> vms;
    const auto count = *rc::gen::inRange(3, 70);
    vms.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        vms.push_back("vm-" + std::to_string(*rc::gen::inRange(0, 100000)) + "-" + std::to_string(index));
    }
    const auto lost = vms[*rc::gen::inRange<std::size_t>(0, vms.size())];
    auto remaining = vms;
    std::erase(remaining, lost);
    for (int index = 0; index < 20; ++index) {
        const auto service = "service-" + std::to_string(index);
        const auto before = hubs_of(service, vms);
        const auto after = hubs_of(service, remaining);
        if (std::find(before.begin(), before.end(), lost) == before.end()) {
            RC_ASSERT(before == after);
        }
        else if (before.back() == lost) {
            RC_ASSERT(before.front() == after.front());
        }
    }
}

} // namespace
} // namespace vanillagauge::policy
