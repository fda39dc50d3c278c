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

TEST(feed, tells_what_listing_again_found)
{
    watched_feed watched;
    watched.content.apply_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 6)}}, 10, start);
    watched.content.apply_listing({{"b", make_object("b", 12)}}, 20, start);
    EXPECT_EQ(watched.seen, (std::vector<std::string>{"+a@5", "+b@6", "-a@5", "+b@12"}));
}

// A caller is answered by an old configuration after a newer one was in force here: an answer of the store,
// or of another gateway, was long under way.
TEST(feed, never_goes_back)
{
    watched_feed watched;
    watched.content.apply_changes({{{make_object("a", 9), false}}, 9}, start);
    watched.content.apply_changes({{{make_object("a", 5), false}}, 5}, start);
    watched.content.apply_listing({{"a", make_object("a", 5)}}, 6, start);
    EXPECT_EQ(watched.content.objects().at("a").revision, 9U);
    EXPECT_EQ(watched.content.as_of(), 9U);
    EXPECT_EQ(watched.seen.size(), 1U);
}

TEST(feed, passes_changes_and_removals_on_to_another_gateway)
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

TEST(feed, ignores_a_gateway_that_knows_less)
{
    watched_feed slow;
    watched_feed quick;
    slow.content.apply_listing({{"a", make_object("a", 5)}}, 10, start);
    quick.content.apply_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 12)}}, 12, start);
    quick.content.apply_update(slow.content.update_since(0), start);
    EXPECT_TRUE(quick.content.objects().contains("b"));
}

// A gateway lists the whole kind later than the watcher's watch began, on a day without changes. The
// watcher's word is as good as new; a gateway that does not believe it asks the store for everything again
// and again.
TEST(feed, is_confirmed_by_a_watcher_whose_watch_began_earlier)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({{"a", make_object("a", 5)}}, 10, start);
    other.content.apply_listing({{"a", make_object("a", 5)}}, 30, start);
    other.content.apply_update(watcher.content.update_since(30), start + seconds{5});
    EXPECT_EQ(other.content.confirmed_at(), start + seconds{5});
    EXPECT_EQ(other.content.as_of(), 30U);
}

TEST(feed, tells_a_gateway_that_follows_only_what_changed)
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

// A replica comes and goes while one watcher is away from the store; a gateway learned of it from another
// one. The watcher has never seen it, so no removal that it could tell; the gateway would send to it for
// good.
TEST(feed, names_everything_to_a_gateway_that_may_know_what_this_copy_never_saw)
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

// The watch tells of the end of an object that this copy never held: it passes that on all the same.
TEST(feed, passes_on_the_end_of_what_it_never_held)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.apply_listing({}, 100, start);
    other.content.apply_listing({{"x", make_object("x", 110)}}, 115, start);
    watcher.content.apply_changes({{{make_object("x", 110), true}}, 120}, start);
    other.content.apply_update(watcher.content.update_since(other.content.as_of()), start);
    EXPECT_TRUE(other.content.objects().empty());
}

// An object comes again under its name after its end; a late word of that end must not remove it.
TEST(feed, keeps_an_object_that_came_again)
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

// A VM that watched for the others no longer does and has no use for the content: it must not be told later
// that an old revision is current.
TEST(feed, holds_nothing_once_it_has_forgotten)
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

// A listing that was long under way tells of less than is known here already. What has gone since must still
// reach the gateways that ask.
TEST(feed, passes_ends_on_after_an_old_listing)
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

TEST(feed, names_everything_once_removals_are_more_than_it_keeps)
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

TEST(feed, keeps_what_this_gateway_wrote_until_the_watch_tells_it)
{
    watched_feed watched;
    watched.content.apply_listing({}, 10, start);
    watched.content.apply_own_write(make_object("mine", 14));
    watched.content.apply_listing({}, 12, start); // asked before the write
    EXPECT_TRUE(watched.content.objects().contains("mine"));
}

} // namespace
} // namespace vanillagauge::gateway
