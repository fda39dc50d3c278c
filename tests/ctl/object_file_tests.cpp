#include "../odd_json.hpp"
#include "ctl/object_file.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::ctl {
namespace {

TEST(object_file, accepts_one_object_or_an_array)
{
    const auto one = parse_objects(R"({"kind": "drain", "name": "a", "spec": {}})", "f");
    ASSERT_TRUE(ok(one)) << failure(one).detail;
    EXPECT_EQ(value(one).size(), 1U);
    EXPECT_FALSE(value(one).front().versioned);
    const auto two = parse_objects(
        R"([{"kind": "drain", "name": "a"}, {"kind": "drain", "name": "b", "version": "7"}])", "f");
    ASSERT_TRUE(ok(two)) << failure(two).detail;
    EXPECT_TRUE(value(two)[1].versioned);
    EXPECT_EQ(value(two)[1].object.version(), 7U);
}

TEST(object_file, reports_the_position_of_an_error)
{
    const auto parsed = parse_objects(R"([{"kind": "drain", "name": "a"}, {"kind": "drain"}])", "f.json");
    ASSERT_FALSE(ok(parsed));
    EXPECT_NE(failure(parsed).detail.find("f.json: at /1"), std::string::npos) << failure(parsed).detail;
}

TEST(object_file, rejects_text_that_is_not_json)
{
    EXPECT_FALSE(ok(parse_objects("kind: drain", "f")));
    EXPECT_FALSE(ok(parse_objects("7", "f")));
    EXPECT_FALSE(ok(parse_objects("", "f")));
}

// Guards against a file that ends vgctl as its objects are copied.
TEST(object_file, rejects_deeply_nested_values)
{
    const auto object = R"({"kind": "drain", "name": "a", "spec": {"x": )" + nested_arrays() + "}}";
    for (const auto& text : {object, "[" + object + "]", nested_arrays()}) {
        const auto parsed = parse_objects(text, "f.json");
        ASSERT_FALSE(ok(parsed));
        EXPECT_TRUE(failure(parsed).detail.starts_with("f.json: expected")) << failure(parsed).detail;
    }
}

TEST(object_check, validates_without_a_keeper)
{
    const auto wrong =
        parse_objects(R"({"kind": "deployment", "name": "a", "spec": {"kind": "engin"}})", "f");
    ASSERT_TRUE(ok(wrong));
    const auto checked = check_objects(value(wrong));
    ASSERT_FALSE(ok(checked));
    EXPECT_NE(failure(checked).detail.find("deployment/a: at /"), std::string::npos)
        << failure(checked).detail;
}

} // namespace
} // namespace vanillagauge::ctl
