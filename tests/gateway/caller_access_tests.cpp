#include "gateway/caller_access.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

configuration with_organisations()
{
    configuration current;
    current.organisations.emplace();
    EXPECT_TRUE(ok(current.organisations->add({"first", 3}, {"key-a", "key-b"})));
    EXPECT_TRUE(ok(current.organisations->add({"second"}, {"key-c"})));
    return current;
}

TEST(organisation_directory, finds_the_organisation_of_each_key)
{
    const auto current = with_organisations();
    const auto& known = *current.organisations;
    EXPECT_EQ(known.find_by_key("key-a")->name, "first");
    EXPECT_EQ(known.find_by_key("key-b")->name, "first");
    EXPECT_EQ(known.find_by_key("key-c")->name, "second");
    EXPECT_EQ(known.find_by_key("key-d"), nullptr);
    EXPECT_EQ(known.find_by_key(""), nullptr);
    EXPECT_EQ(known.find_by_name("second")->name, "second");
    EXPECT_EQ(known.find_by_name("third"), nullptr);
}

// Guards against requests that run for whichever of two organisations was read first.
TEST(organisation_directory, refuses_a_key_of_two_organisations_without_naming_the_key)
{
    organisation_directory known;
    ASSERT_TRUE(ok(known.add({"first"}, {"key-a"})));
    EXPECT_TRUE(ok(known.add({"first"}, {"key-a"}))) << "a repeated key of one organisation is clear";
    const auto refused = known.add({"second"}, {"key-b", "key-a"});
    ASSERT_FALSE(ok(refused));
    EXPECT_EQ(failure(refused).code, error_code::invalid_argument);
    EXPECT_EQ(failure(refused).detail,
              "organisation second, key 1: expected a key of its own, found a key of first");
}

// Guards against an empty key, with which each request that carries none would be let in.
TEST(organisation_directory, refuses_an_empty_key)
{
    organisation_directory known;
    EXPECT_FALSE(ok(known.add({"first"}, {""})));
}

TEST(identify_caller, finds_the_organisation_unless_the_route_is_public)
{
    const auto current = with_organisations();
    route chosen;
    const auto known = identify_caller(current, chosen, "key-c");
    ASSERT_TRUE(ok(known));
    EXPECT_EQ(value(known)->name, "second");
    for (const auto* key : {"", "key-d", "KEY-C", "key-c "}) {
        const auto refused = identify_caller(current, chosen, key);
        ASSERT_FALSE(ok(refused)) << key;
        EXPECT_EQ(failure(refused).code, error_code::unauthenticated);
        EXPECT_EQ(failure(refused).ran, run_state::not_run);
    }
    chosen.is_public = true;
    EXPECT_FALSE(value(identify_caller(current, chosen, "")).has_value());
    EXPECT_FALSE(value(identify_caller(current, chosen, "key-c")).has_value());
}

TEST(identify_caller, needs_no_key_where_the_configuration_has_no_organisations)
{
    EXPECT_FALSE(value(identify_caller(configuration{}, route{}, "key-a")).has_value());
    configuration nobody;
    nobody.organisations.emplace();
    EXPECT_FALSE(ok(identify_caller(nobody, route{}, "key-a")));
}

TEST(check_batch_access, admits_each_key_of_the_submitter_and_hides_the_batch_from_others)
{
    const auto current = with_organisations();
    EXPECT_TRUE(ok(check_batch_access(current, "key-a", "first")));
    EXPECT_TRUE(ok(check_batch_access(current, "key-b", "first")));
    EXPECT_EQ(failure(check_batch_access(current, "key-c", "first")).code, error_code::not_found);
    EXPECT_EQ(failure(check_batch_access(current, "key-d", "first")).code, error_code::unauthenticated);
    EXPECT_TRUE(ok(check_batch_access(current, "", ""))) << "a batch of a public route";
    EXPECT_TRUE(ok(check_batch_access(configuration{}, "", "first")));
}

TEST(priority_of, prefers_the_organisation_to_the_route)
{
    route chosen;
    chosen.priority = 2;
    EXPECT_EQ(priority_of(chosen, std::nullopt), 2);
    EXPECT_EQ(priority_of(chosen, organisation{"first"}), 2);
    EXPECT_EQ(priority_of(chosen, organisation{"first", 0}), 0);
}

} // namespace
} // namespace vanillagauge::gateway
