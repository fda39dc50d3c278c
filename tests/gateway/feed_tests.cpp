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
    watched.content.take_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 6)}}, 10, start);
    watched.content.take_listing({{"b", make_object("b", 12)}}, 20, start);
    EXPECT_EQ(watched.seen, (std::vector<std::string>{"+a@5", "+b@6", "-a@5", "+b@12"}));
}

// A caller is answered by an old configuration after a newer one was in force here: an answer of the store,
// or of another gateway, was long under way.
TEST(feed, never_goes_back)
{
    watched_feed watched;
    watched.content.take_changes({{{make_object("a", 9), false}}, 9}, start);
    watched.content.take_changes({{{make_object("a", 5), false}}, 5}, start);
    watched.content.take_listing({{"a", make_object("a", 5)}}, 6, start);
    EXPECT_EQ(watched.content.objects().at("a").revision, 9U);
    EXPECT_EQ(watched.content.as_of(), 9U);
    EXPECT_EQ(watched.seen.size(), 1U);
}

TEST(feed, passes_changes_and_removals_on_to_another_gateway)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.take_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 6)}}, 10, start);
    other.content.take_answer(watcher.content.answer(0), start);
    EXPECT_EQ(other.content.objects().size(), 2U);
    EXPECT_FALSE(watcher.content.has_news(other.content.as_of()));
    watcher.content.take_changes({{{make_object("a", 5), true}}, 15}, start);
    ASSERT_TRUE(watcher.content.has_news(other.content.as_of()));
    other.content.take_answer(watcher.content.answer(other.content.as_of()), start);
    EXPECT_FALSE(other.content.objects().contains("a"));
    EXPECT_EQ(other.seen.back(), "-a@5");
}

TEST(feed, ignores_a_gateway_that_knows_less)
{
    watched_feed slow;
    watched_feed quick;
    slow.content.take_listing({{"a", make_object("a", 5)}}, 10, start);
    quick.content.take_listing({{"a", make_object("a", 5)}, {"b", make_object("b", 12)}}, 12, start);
    quick.content.take_answer(slow.content.answer(0), start);
    EXPECT_TRUE(quick.content.objects().contains("b"));
}

// A gateway lists the whole kind later than the watcher's watch began, on a day without changes. The
// watcher's word is as good as new; a gateway that does not believe it asks the store for everything again
// and again.
TEST(feed, is_confirmed_by_a_watcher_whose_watch_began_earlier)
{
    watched_feed watcher;
    watched_feed other;
    watcher.content.take_listing({{"a", make_object("a", 5)}}, 10, start);
    other.content.take_listing({{"a", make_object("a", 5)}}, 30, start);
    other.content.take_answer(watcher.content.answer(30), start + seconds{5});
    EXPECT_EQ(other.content.confirmed(), start + seconds{5});
    EXPECT_EQ(other.content.as_of(), 30U);
}

TEST(feed, keeps_what_this_gateway_wrote_until_the_watch_tells_it)
{
    watched_feed watched;
    watched.content.take_listing({}, 10, start);
    watched.content.take_own(make_object("mine", 14));
    watched.content.take_listing({}, 12, start); // asked before the write
    EXPECT_TRUE(watched.content.objects().contains("mine"));
}

} // namespace
} // namespace vanillagauge::gateway
