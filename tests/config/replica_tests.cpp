#include "config/config.hpp"

#include <gtest/gtest.h>

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
    ASSERT_EQ(held.since(revision).size(), 1U);
    EXPECT_EQ(held.since(revision).front().name, "b");
}

} // namespace
} // namespace vanillagauge::config
