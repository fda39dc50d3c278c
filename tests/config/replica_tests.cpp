#include "config/config.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace vanillagauge::config {
namespace {

// An operator replaces a configuration. A peer that was cut off then returns, or a watch event arrives late,
// with the old version; the operator would see the change undone. The replica takes only higher versions, so
// it cannot.
TEST(replica, never_goes_back_to_an_older_version)
{
    replica held;
    EXPECT_TRUE(held.merge({"job", "a", 5, "new", false}));
    EXPECT_FALSE(held.merge({"job", "a", 4, "old", false}));
    EXPECT_EQ(held.find("job", "a")->spec_json, "new");
}

TEST(replica, keeps_a_deleted_object_deleted)
{
    replica held;
    held.merge({"job", "a", 5, "x", false});
    held.merge({"job", "a", 6, "", true});
    held.merge({"job", "a", 5, "x", false});
    EXPECT_FALSE(held.find("job", "a"));
}

TEST(replica, has_the_same_digest_whatever_the_order)
{
    replica one;
    one.merge({"job", "a", 1, "", false});
    one.merge({"job", "b", 2, "", false});
    one.merge({"job", "a", 3, "", false});
    replica other;
    other.merge({"job", "a", 3, "", false});
    other.merge({"job", "b", 2, "", false});
    EXPECT_EQ(one.digest(), other.digest());
}

TEST(replica, lists_what_changed_after_a_revision)
{
    replica held;
    held.merge({"job", "a", 1, "", false});
    const auto revision = held.revision();
    held.merge({"job", "b", 2, "", false});
    ASSERT_EQ(held.changes_since(revision).size(), 1U);
    EXPECT_EQ(held.changes_since(revision).front().name, "b");
}

// A watch is compacted while an object is deleted. The listing that follows does not show the deletion;
// without care the deleted object would stay in force on this node for ever.
TEST(replica, takes_what_a_listing_lacks_for_deleted_and_a_later_creation_for_new)
{
    replica held;
    held.merge({"job", "a", 5, "x", false});
    held.merge({"job", "b", 6, "x", false});
    held.merge({"deployment", "c", 7, "x", false});
    EXPECT_TRUE(held.merge_listing("job", {{"job", "a", 5, "x", false}}, 9));
    EXPECT_TRUE(held.find("job", "a"));
    EXPECT_FALSE(held.find("job", "b"));
    EXPECT_TRUE(held.find("deployment", "c")) << "another kind is not in the listing";
    EXPECT_FALSE(held.merge({"job", "b", 6, "x", false})) << "a late event";
    EXPECT_TRUE(held.merge({"job", "b", 10, "y", false}));
    EXPECT_EQ(held.find("job", "b")->spec_json, "y");
}

// A listing was asked for before an object was created and arrives after the object came from a peer.
TEST(replica, a_late_listing_does_not_delete_what_is_newer_than_it)
{
    replica held;
    held.merge({"job", "a", 8, "x", false});
    held.merge_listing("job", {}, 7);
    EXPECT_TRUE(held.find("job", "a"));
}

// Tombstones would grow for ever. Once the oldest are dropped, a peer that was away for long brings a deleted
// object again; only the store may say that such an old object exists.
TEST(replica, bounds_its_tombstones_and_yet_lets_no_stale_peer_bring_a_deleted_object_back)
{
    replica held;
    held.merge({"job", "victim", 1, "x", false});
    std::uint64_t version = 1;
    held.merge({"job", "victim", ++version, "", true});
    for (std::size_t index = 0; index < 2 * replica::max_tombstones; ++index) {
        const auto name = "job-" + std::to_string(index);
        held.merge({"job", name, ++version, "", true});
    }
    EXPECT_LE(held.versions().size(), replica::max_tombstones);
    EXPECT_FALSE(held.merge({"job", "victim", 1, "x", false}, object_source::peer));
    EXPECT_FALSE(held.find("job", "victim"));
    EXPECT_TRUE(held.merge({"job", "old", 1, "x", false}, object_source::store));
}

// The order in which a node hears of changes is arbitrary: a restart in an outage, a stale peer, a late
// event, a peer from before a partition. Whatever it is, no object's version may ever go down.
TEST(replica, versions_never_go_down_whatever_arrives_in_whatever_order)
{
    std::mt19937_64 random{11};
    replica held;
    std::map<std::string, std::uint64_t> highest;
    for (int step = 0; step < 20000; ++step) {
        const auto name = std::to_string(random() % 20);
        const std::uint64_t version = 1 + random() % 1000;
        const auto before = held.version_of("job", name);
        held.merge({"job", name, version, "", random() % 4 == 0},
                   random() % 2 == 0 ? object_source::peer : object_source::store);
        EXPECT_GE(held.version_of("job", name), before);
        highest[name] = std::max(highest[name], version);
        EXPECT_EQ(held.version_of("job", name), highest[name]);
    }
}

} // namespace
} // namespace vanillagauge::config
