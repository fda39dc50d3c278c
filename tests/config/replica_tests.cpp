#include "config/config.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace vanillagauge::config {
namespace {

// A formerly partitioned peer or a late watch event delivers an old version, which must not undo an
// operator's change.
TEST(replica, ignores_older_versions)
{
    replica held;
    EXPECT_TRUE(held.merge({"job", "a", 5, "new", false}));
    EXPECT_FALSE(held.merge({"job", "a", 4, "old", false}));
    EXPECT_EQ(held.find("job", "a")->spec_json, "new");
}

TEST(replica, tombstone_blocks_a_stale_copy)
{
    replica held;
    held.merge({"job", "a", 5, "x", false});
    held.merge({"job", "a", 6, "", true});
    held.merge({"job", "a", 5, "x", false});
    EXPECT_FALSE(held.find("job", "a"));
}

TEST(replica, digest_is_independent_of_order)
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

TEST(replica, changes_since_returns_later_changes)
{
    replica held;
    held.merge({"job", "a", 1, "", false});
    const auto revision = held.revision();
    held.merge({"job", "b", 2, "", false});
    ASSERT_EQ(held.changes_since(revision).size(), 1U);
    EXPECT_EQ(held.changes_since(revision).front().name, "b");
}

// The deletion was compacted out of the watch, and the following listing does not contain it; the deleted
// object must not stay on this node.
TEST(replica, listing_deletes_missing_objects_until_recreated)
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

// A listing requested before an object was created arrives after the object came from a peer.
TEST(replica, late_listing_keeps_newer_objects)
{
    replica held;
    held.merge({"job", "a", 8, "x", false});
    held.merge_listing("job", {}, 7);
    EXPECT_TRUE(held.find("job", "a"));
}

// Tombstones are bounded. Once one is dropped, a long-disconnected peer may deliver the deleted object again;
// only the store may restore such an old object.
TEST(replica, dropped_tombstones_still_block_stale_peers)
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

// Changes arrive in any order, from stale peers and late events; no object's version may decrease.
TEST(replica, versions_are_monotonic_in_any_order)
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
