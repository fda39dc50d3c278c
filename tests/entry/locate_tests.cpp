#include "entry/locate.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanillagauge::entry {
namespace {

const time_point now{std::chrono::hours{1}};

fleet::member entry_at(const std::string& vm, const std::string& domain, double load = 0,
                       fleet::member_state state = fleet::member_state::alive)
{
    fleet::member member;
    member.info.vm = vm;
    member.info.failure_domain = domain;
    member.info.processes.push_back({"entry", 1, vm + ":80", vm + ":90", false, load});
    member.state = state;
    member.since = now;
    return member;
}

std::vector<std::string> advice(const node::view& view, const std::string& caller)
{
    return value(locate(view, {"piraeus", caller, "vm-1", now, 0})).addresses;
}

node::view view_of(std::vector<fleet::member> members)
{
    node::view view;
    view.nodes = std::move(members);
    return view;
}

TEST(locate, orders_entries_by_domain_then_load)
{
    const auto view = view_of(
        {entry_at("vm-1", "marousi"), entry_at("vm-2", "piraeus", 3), entry_at("vm-3", "piraeus", 1)});
    EXPECT_EQ(advice(view, "phone"), (std::vector<std::string>{"vm-3:80", "vm-2:80", "vm-1:80"}));
}

// Equally loaded entries share the callers, and each caller gets a stable order.
TEST(locate, spreads_callers_over_entries_of_equal_load)
{
    const auto view = view_of({entry_at("vm-1", "piraeus"), entry_at("vm-2", "piraeus")});
    std::set<std::string> firsts;
    for (int index = 0; index < 50; ++index) {
        const auto caller = "phone-" + std::to_string(index);
        firsts.insert(advice(view, caller).front());
        EXPECT_EQ(advice(view, caller), advice(view, caller));
    }
    EXPECT_EQ(firsts.size(), 2U);
}

TEST(locate, spreads_anonymous_callers)
{
    const auto view = view_of({entry_at("vm-1", "piraeus"), entry_at("vm-2", "piraeus")});
    std::set<std::string> firsts;
    for (int index = 0; index < 100; ++index) {
        firsts.insert(advice(view, "").front());
    }
    EXPECT_EQ(firsts.size(), 2U);
}

TEST(locate, omits_draining_entries)
{
    auto draining = entry_at("vm-2", "piraeus");
    draining.info.processes.front().draining = true;
    const auto view = view_of({entry_at("vm-1", "marousi"), draining});
    EXPECT_EQ(advice(view, "phone"), (std::vector<std::string>{"vm-1:80"}));
}

// A node that lost all its peers at once is probably partitioned: callers try the others first and get no
// call keys, since no backup would record a claim.
TEST(locate, node_without_peers_lists_itself_last)
{
    const auto view =
        view_of({entry_at("vm-1", "piraeus"), entry_at("vm-2", "piraeus", 0, fleet::member_state::dead),
                 entry_at("vm-3", "marousi", 0, fleet::member_state::suspect)});
    EXPECT_EQ(advice(view, "phone"), (std::vector<std::string>{"vm-2:80", "vm-3:80", "vm-1:80"}));
    EXPECT_EQ(value(locate(view, {"piraeus", "phone", "vm-1", now, 0})).key_prefix, "");
    const locate_query later{"piraeus", "phone", "vm-1", now + seconds{120}, 0};
    EXPECT_EQ(value(locate(view, later)).addresses, (std::vector<std::string>{"vm-1:80"}));
}

// A node that reaches one peer of three is in the minority of a partition: lost entries come first, then the
// peer, then itself; it mints no key, since the majority would take over its pairs.
TEST(locate, isolated_node_lists_itself_last_and_mints_no_key)
{
    auto view = view_of({entry_at("vm-1", "piraeus"), entry_at("vm-2", "marousi"),
                         entry_at("vm-3", "glyfada", 0, fleet::member_state::dead),
                         entry_at("vm-4", "glyfada", 0, fleet::member_state::dead)});
    view.isolated = true;
    const auto addresses = advice(view, "phone");
    ASSERT_EQ(addresses.size(), 4U);
    EXPECT_EQ(std::set<std::string>(addresses.begin(), addresses.begin() + 2),
              (std::set<std::string>{"vm-3:80", "vm-4:80"}));
    EXPECT_EQ(addresses[2], "vm-2:80");
    EXPECT_EQ(addresses[3], "vm-1:80");
    EXPECT_EQ(value(locate(view, {"piraeus", "phone", "vm-1", now, 0})).key_prefix, "");
}

// A stopping entry serves for the drain time after it left the advice; advice cached for longer would send
// callers to a closed port.
TEST(advice_ttl, is_shorter_than_drain_time)
{
    EXPECT_EQ(advice_ttl(milliseconds{6000}), milliseconds{5000});
    EXPECT_EQ(advice_ttl(milliseconds{60000}), milliseconds{5000});
    EXPECT_EQ(advice_ttl(milliseconds{2000}), milliseconds{1000});
    EXPECT_EQ(advice_ttl(milliseconds{500}), milliseconds{0});
}

} // namespace
} // namespace vanillagauge::entry
