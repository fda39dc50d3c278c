#include "gateway/feed.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

constexpr time_point start{seconds{100}};

stored_object make_object(const std::string& name, std::uint64_t revision)
{
    return {name, revision, {{"n", revision}}, {}};
}

struct watched_feed {
    std::vector<std::string> seen;
    feed content{"k", [this](const object_change& change) {
                     seen.push_back((change.removed ? "-" : "+") + change.object.name + "@" +
                                    std::to_string(change.object.revision));
                 }};
};

TEST(feed, reports_changes_found_by_relisting)
{
    watched_feed watched;
    watched.content.apply_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 6)}}, 10, start);
    watched.content.apply_listing({{"b", make_object("b", 12)}}, 20, start);
    EXPECT_EQ(watched.seen, (std::vector<std::string>{"+a@5", "+b@6", "-a@5", "+b@12"}));
}

// Guards against a delayed response that replaces a newer configuration by an older one.
TEST(feed, ignores_stale_changes_and_listings)
{
    watched_feed watched;
    watched.content.apply_changes({{{make_object("a", 9), false}}, 9}, start);
    watched.content.apply_changes({{{make_object("a", 5), false}}, 5}, start);
    watched.content.apply_listing({{"a", make_object("a", 5)}}, 6, start);
    EXPECT_EQ(watched.content.objects().at("a").revision, 9U);
    EXPECT_EQ(watched.content.as_of(), 9U);
    EXPECT_EQ(watched.seen.size(), 1U);
}

TEST(feed, propagates_changes_and_removals)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 6)}}, 10, start);
    other.content.apply_update(watcher.content.update_since(0), start);
    EXPECT_EQ(other.content.objects().size(), 2U);
    EXPECT_FALSE(watcher.content.changed_since(other.content.as_of()));
    watcher.content.apply_changes({{{make_object("a", 5), true}}, 15}, start);
    ASSERT_TRUE(watcher.content.changed_since(other.content.as_of()));
    other.content.apply_update(watcher.content.update_since(other.content.as_of()), start);
    EXPECT_FALSE(other.content.objects().contains("a"));
    EXPECT_EQ(other.seen.back(), "-a@5");
}

TEST(feed, ignores_older_update)
{
    watched_feed slow;
    watched_feed quick;
    slow.content.apply_listing({{"a", make_object("a", 5)}}, 10, start);
    quick.content.apply_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 12)}}, 12, start);
    quick.content.apply_update(slow.content.update_since(0), start);
    EXPECT_TRUE(quick.content.objects().contains("b"));
}

// Guards against repeated full listings by a gateway that listed at a later revision than a watcher's idle
// watch.
TEST(feed, is_confirmed_by_update_at_older_revision)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({{"a", make_object("a", 5)}}, 10, start);
    other.content.apply_listing({{"a", make_object("a", 5)}}, 30, start);
    other.content.apply_update(watcher.content.update_since(30), start + seconds{5});
    EXPECT_EQ(other.content.confirmed_at(), start + seconds{5});
    EXPECT_EQ(other.content.as_of(), 30U);
}

TEST(feed, sends_only_changes_since_last_update)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 6)}}, 10, start);
    other.content.apply_update(watcher.content.update_since(0), start);
    watcher.content.apply_changes({{{make_object("a", 5), true}, {make_object("c", 16), false}}, 16}, start);
    const auto news = watcher.content.update_since(other.content.as_of());
    EXPECT_FALSE(news.names);
    EXPECT_EQ(news.changed.size(), 1U);
    other.content.apply_update(news, start);
    EXPECT_EQ(other.seen, (std::vector<std::string>{"+a@5", "+b@6", "-a@5", "+c@16"}));
}

// Guards against a gateway that keeps an object forever which this watcher missed and so can't report as
// removed.
TEST(feed, sends_all_names_if_removals_may_be_missing)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({{"a", make_object("a", 5)}}, 100, start);
    other.content.apply_listing({{"a", make_object("a", 5)}, {"x", make_object("x", 110)}}, 115, start);
    watcher.content.apply_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 125)}}, 130, start);
    other.content.apply_update(watcher.content.update_since(other.content.as_of()), start);
    EXPECT_FALSE(other.content.objects().contains("x"));
    EXPECT_TRUE(other.content.objects().contains("b"));
}

// Guards against a replica that has left and is used again, since a listing or the answer of a watch arrives
// after a newer copy from another gateway.
TEST(feed, does_not_bring_back_a_removed_object)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({{"a", make_object("a", 5)}, {"x", make_object("x", 90)}}, 100, start);
    other.content.apply_update(watcher.content.update_since(0), start);
    watcher.content.apply_changes({{{make_object("x", 90), true}}, 110}, start);
    other.content.apply_update(watcher.content.update_since(100), start);
    other.content.apply_listing({{"a", make_object("a", 5)}, {"x", make_object("x", 90)}}, 105, start);
    EXPECT_FALSE(other.content.objects().contains("x"));
    other.content.apply_changes({{{make_object("x", 103), false}}, 103}, start);
    EXPECT_FALSE(other.content.objects().contains("x"));
    EXPECT_TRUE(other.content.objects().contains("a"));
    EXPECT_EQ(other.seen, (std::vector<std::string>{"+a@5", "+x@90", "-x@90"}));
}

// Guards against dropping the removal of an object that only the other gateway knows.
TEST(feed, propagates_removal_of_unknown_object)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({}, 100, start);
    other.content.apply_listing({{"x", make_object("x", 110)}}, 115, start);
    watcher.content.apply_changes({{{make_object("x", 110), true}}, 120}, start);
    other.content.apply_update(watcher.content.update_since(other.content.as_of()), start);
    EXPECT_TRUE(other.content.objects().empty());
}

// Guards against an older removal that deletes a recreated object.
TEST(feed, keeps_recreated_object)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({{"a", make_object("a", 5)}}, 10, start);
    other.content.apply_update(watcher.content.update_since(0), start);
    watcher.content.apply_changes({{{make_object("a", 5), true}}, 12}, start);
    watcher.content.apply_changes({{{make_object("a", 14), false}}, 14}, start);
    other.content.apply_update(watcher.content.update_since(10), start);
    EXPECT_EQ(other.content.objects().at("a").revision, 14U);
}

// Guards against content of an old revision that counts as current after a VM stopped watching.
TEST(feed, is_empty_and_unsynced_after_reset)
{
    watched_feed watched;
    watched.content.apply_listing({{"a", make_object("a", 5)}}, 10, start);
    watched.content.reset();
    EXPECT_FALSE(watched.content.synced());
    EXPECT_EQ(watched.seen.back(), "-a@5");
    EXPECT_FALSE(watched.content.changed_since(0));
    watched.content.apply_listing({{"a", make_object("a", 5)}}, 12, start);
    EXPECT_EQ(watched.seen.back(), "+a@5");
    EXPECT_EQ(watched.content.as_of(), 12U);
}

// Guards against a gateway that takes the few replicas that changed for all of them, because it dropped its
// copy while a peer's answer was on its way.
TEST(feed, drops_an_update_that_follows_a_dropped_content)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 6)}}, 10, start);
    other.content.apply_update(watcher.content.update_since(0), start);
    watcher.content.apply_changes({{{make_object("b", 16), false}}, 16, 10}, start);
    auto on_its_way = watcher.content.update_since(other.content.as_of());
    other.content.reset();
    other.content.apply_update(std::move(on_its_way), start);
    EXPECT_FALSE(other.content.synced());
    EXPECT_TRUE(other.content.objects().empty());
    other.content.apply_update(watcher.content.update_since(0), start);
    EXPECT_EQ(other.content.objects().size(), 2U);
}

TEST(feed, drops_changes_that_follow_a_dropped_content)
{
    watched_feed watched;
    watched.content.apply_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 6)}}, 10, start);
    watched.content.reset();
    watched.content.apply_changes({{{make_object("b", 16), false}}, 16, 10}, start);
    EXPECT_FALSE(watched.content.synced());
    EXPECT_TRUE(watched.content.objects().empty());
}

// Guards against a stale listing that makes later removals unavailable to polling gateways.
TEST(feed, propagates_removals_after_stale_listing)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({{"a", make_object("a", 5)}}, 10, start);
    other.content.apply_update(watcher.content.update_since(0), start);
    watcher.content.apply_changes({{{make_object("a", 5), true}}, 20}, start);
    watcher.content.apply_listing({}, 12, start);
    other.content.apply_update(watcher.content.update_since(other.content.as_of()), start);
    EXPECT_TRUE(other.content.objects().empty());
}

// Guards against a polling gateway that keeps an object's old content after the store's turned unreadable, or
// does not take it up again.
TEST(feed, propagates_an_object_that_turns_odd_and_is_sound_again)
{
    const stored_object odd{"a", 12, nullptr, nullptr, {"/Metadata/Revision"}};
    watched_feed watcher;
    watched_feed other;
    const auto pass_on = [&] {
        other.content.apply_update(watcher.content.update_since(other.content.as_of()), start);
    };
    watcher.content.apply_listing({{"a", make_object("a", 5)}}, 10, start);
    pass_on();
    watcher.content.apply_changes({{{odd, false}}, 13, 10}, start);
    pass_on();
    EXPECT_TRUE(other.content.objects().at("a").value.is_null());
    EXPECT_EQ(other.content.objects().at("a").unread, odd.unread);
    watcher.content.apply_changes({{{make_object("a", 14), false}}, 14, 13}, start);
    pass_on();
    EXPECT_EQ(other.content.objects().at("a").value, make_object("a", 14).value);
    watcher.content.apply_listing({{"a", {"a", 20, nullptr, nullptr, {"/Metadata/Revision"}}}}, 20, start);
    pass_on();
    EXPECT_TRUE(other.content.objects().at("a").value.is_null());
    watcher.content.apply_changes({{{{"a", 21, nullptr, nullptr, {"/Metadata/Revision"}}, true}}, 21, 20},
                                  start);
    pass_on();
    EXPECT_TRUE(other.content.objects().empty());
}

TEST(feed, sends_all_names_after_removal_overflow)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({{"a", make_object("a", 5)}}, 10, start);
    other.content.apply_update(watcher.content.update_since(0), start);
    for (std::uint64_t at = 11; at < 3011; ++at) {
        watcher.content.apply_changes({{{make_object("o" + std::to_string(at), at), true}}, at}, start);
    }
    watcher.content.apply_changes({{{make_object("a", 5), true}}, 3012}, start);
    EXPECT_TRUE(watcher.content.update_since(10).names);
    EXPECT_FALSE(watcher.content.update_since(3000).names);
    other.content.apply_update(watcher.content.update_since(10), start);
    EXPECT_TRUE(other.content.objects().empty());
}

TEST(feed, keeps_own_write_despite_stale_listing)
{
    watched_feed watched;
    watched.content.apply_listing({}, 10, start);
    watched.content.apply_own_write(make_object("mine", 14));
    watched.content.apply_listing({}, 12, start); // requested before the write
    EXPECT_TRUE(watched.content.objects().contains("mine"));
}

} // namespace
} // namespace vanillagauge::gateway
