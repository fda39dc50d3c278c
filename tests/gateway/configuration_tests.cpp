#include "gateway/configuration.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::gateway {
namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route made;
    made.name = name;
    made.host = host;
    made.path_prefix = prefix;
    return made;
}

TEST(find_route, selects_longest_prefix_of_host)
{
    configuration current;
    current.routes = {make_route("short", "a.example", "/x/"), make_route("long", "a.example", "/x/y/"),
                      make_route("other", "b.example", "/x/y/z/")};
    EXPECT_EQ(find_route(current, "a.example", "/x/y/z/1")->name, "long");
    EXPECT_EQ(find_route(current, "a.example", "/x/other")->name, "short");
    EXPECT_EQ(find_route(current, "b.example", "/x/y/"), nullptr);
    EXPECT_EQ(find_route(current, "c.example", "/x/"), nullptr);
}

TEST(pick_service, respects_split_weights)
{
    route split;
    split.services = {{"large", 90}, {"small", 10}};
    EXPECT_EQ(pick_service(split, 0.0), "large");
    EXPECT_EQ(pick_service(split, 0.899), "large");
    EXPECT_EQ(pick_service(split, 0.901), "small");
    EXPECT_EQ(pick_service(split, 1.0), "small");
    EXPECT_EQ(pick_service(route{}, 0.5), "");
}

} // namespace
} // namespace vanillagauge::gateway
