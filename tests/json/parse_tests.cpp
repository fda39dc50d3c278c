#include "json/json.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanillagauge {
namespace {

using nlohmann::json;
using testing::ElementsAre;
using testing::SizeIs;

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string nested_objects(std::size_t levels)
{
    std::string text;
    for (std::size_t level = 0; level < levels; ++level) {
        text += R"({"a":)";
    }
    return text + "1" + std::string(levels, '}');
}

TEST(parse_json, builds_the_same_document_as_the_library)
{
    const std::string text =
        R"({"a":[1,-2,3.5,true,null,"\u00e9\n",{}],"b":{"c":[[],[{}]]},"a b":"","big":18446744073709551615})";
    EXPECT_EQ(parse_json(text), json::parse(text));
}

TEST(parse_json, discards_what_is_no_document)
{
    for (const char* text :
         {"", "{", "[1,]", "nul", "1 2", "\"\xff\"", "{\"a\" 1}", "1e999", "[\"\\ud800\"]"}) {
        EXPECT_TRUE(parse_json(text).is_discarded()) << text;
    }
}

// Copying such a document exhausts the stack and ends the process.
TEST(parse_json, discards_nesting_that_no_stack_bears)
{
    EXPECT_TRUE(parse_json(nested(200'000)).is_discarded());
    EXPECT_TRUE(parse_json(nested_objects(200'000)).is_discarded());
    EXPECT_TRUE(parse_json(std::string(200'000, '[')).is_discarded());
}

TEST(parse_json, takes_as_many_levels_as_it_says)
{
    EXPECT_FALSE(parse_json(nested(max_json_depth)).is_discarded());
    EXPECT_TRUE(parse_json(nested(max_json_depth + 1)).is_discarded());
    EXPECT_FALSE(parse_json(nested_objects(3), 3).is_discarded());
    EXPECT_TRUE(parse_json(nested_objects(4), 3).is_discarded());
}

TEST(parse_repaired_json, leaves_usable_documents_as_they_are)
{
    const std::string text = R"([{"a":1},"x"])";
    const auto read = parse_repaired_json(text);
    EXPECT_EQ(read.document, json::parse(text));
    EXPECT_EQ(read.replaced, 0U);
    EXPECT_THAT(read.replaced_at, SizeIs(0));
}

// One number out of range made the whole list unreadable.
TEST(parse_repaired_json, replaces_only_the_number_out_of_range)
{
    const auto read = parse_repaired_json(R"({"Items":[{"n":1},{"n":1e999},{"n":-1e999,"m":1e-999}]})");
    EXPECT_EQ(read.document, json::parse(R"({"Items":[{"n":1},{"n":null},{"n":null,"m":0.0}]})"));
    EXPECT_EQ(read.replaced, 2U);
    EXPECT_THAT(read.replaced_at, ElementsAre("/Items/1/n", "/Items/2/n"));
}

TEST(parse_repaired_json, replaces_only_the_part_that_nests_too_deep)
{
    const auto text =
        R"([{"n":1,"deep":)" + nested(200'000) + R"(},{"n":2,"text":"[[[{"},)" + nested(2) + "]";
    const auto read = parse_repaired_json(text, 3);
    EXPECT_EQ(read.document, json::parse(R"([{"n":1,"deep":[null]},{"n":2,"text":"[[[{"},[[]]])"));
    EXPECT_THAT(read.replaced_at, ElementsAre("/0/deep/0"));
}

TEST(parse_repaired_json, replaces_strings_and_literals_that_are_not_valid)
{
    const auto read = parse_repaired_json(
        "{\"a\":\"\\ud800\",\"b\":\"\xff\",\"c\":NaN,\"\xfe\":1,\"d\":\"a\nb\",\"e\":\"\\\"\"}");
    EXPECT_EQ(read.document, json::parse(R"({"a":null,"b":null,"c":null,"":1,"d":null,"e":"\""})"));
    EXPECT_EQ(read.replaced, 5U);
}

TEST(parse_repaired_json, discards_a_malformed_structure)
{
    for (const char* text :
         {"", "{", "[1,]", "[1 2]", "]", "{\"a\"}", "[\"a]", "[\"a\\", "{1:2}", "[1e999"}) {
        EXPECT_TRUE(parse_repaired_json(text).document.is_discarded()) << text;
    }
    EXPECT_TRUE(parse_repaired_json("[" + std::string(200'000, '{')).document.is_discarded());
}

TEST(parse_repaired_json, names_the_first_replaced_parts_only)
{
    std::string text = "[1e999";
    for (int count = 1; count < 1000; ++count) {
        text += ",1e999";
    }
    const auto read = parse_repaired_json(text + "]");
    EXPECT_EQ(read.replaced, 1000U);
    EXPECT_THAT(read.replaced_at, SizeIs(8));
}

// Half a character made the message that names the part unwritable.
TEST(parse_repaired_json, names_parts_by_whole_characters)
{
    const auto read = parse_repaired_json("{\"" + std::string(63, 'a') + "\u00e9\":1e999}");
    EXPECT_THAT(read.replaced_at, ElementsAre("/" + std::string(63, 'a')));
}

/// JSON texts of which some bytes were replaced.
std::string drawn_text()
{
    std::string text =
        R"({"Items":[{"Metadata":{"Name":"a/b","Revision":7},"x":[1.5e3,-2,"\u00e9\"",{"y":[[[]]]}]},true]})";
    const std::string symbols = "{}[],:\"\\0e9+-. nul\xff\x01";
    const auto changes = *rc::gen::inRange(0, 6);
    for (int change = 0; change < changes; ++change) {
        text[*rc::gen::inRange<std::size_t>(0, text.size())] =
            symbols[*rc::gen::inRange<std::size_t>(0, symbols.size())];
    }
    return text;
}

RC_GTEST_PROP(parse_json, agrees_with_the_library_on_drawn_texts, ())
{
    const auto text = drawn_text();
    const auto expected = json::parse(text, nullptr, false);
    RC_ASSERT(parse_json(text).is_discarded() == expected.is_discarded());
    RC_ASSERT(expected.is_discarded() || parse_json(text) == expected);
}

RC_GTEST_PROP(parse_repaired_json, changes_no_usable_text_and_bounds_the_depth, ())
{
    const auto text = drawn_text();
    const auto read = parse_repaired_json(text, 4);
    if (const auto strict = parse_json(text, 4); !strict.is_discarded()) {
        RC_ASSERT(read.document == strict);
        RC_ASSERT(read.replaced == 0U);
    }
    else if (!read.document.is_discarded()) {
        RC_ASSERT(read.replaced > 0U);
        RC_ASSERT(!parse_json(read.document.dump(), 4).is_discarded());
    }
}

} // namespace
} // namespace vanillagauge
