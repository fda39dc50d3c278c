// Documents that take many times their text.
#include "../counted_memory.hpp"
#include "json/json.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace vanillagauge {
namespace {

using nlohmann::json;

constexpr std::size_t megabyte = 1'000'000;

/// An array of the element, of about this many bytes.
std::string repeated(std::string_view element, std::size_t bytes)
{
    std::string text = "[";
    while (text.size() + element.size() + 2 < bytes) {
        text += element;
        text += ',';
    }
    return text + std::string(element) + "]";
}

/// An object of members of distinct names.
std::string members(std::string_view value, std::size_t bytes)
{
    std::string text = "{";
    for (std::size_t number = 0; text.size() < bytes; ++number) {
        text += "\"" + std::to_string(number) + "\":" + std::string(value) + ",";
    }
    return text + "\"last\":0}";
}

std::vector<std::string> dense_texts()
{
    return {repeated("{}", megabyte), repeated("[]", megabyte), repeated(R"("")", megabyte),
            repeated("[{}]", megabyte), repeated(R"({"":{}})", megabyte)};
}

std::string entry(std::size_t number, const std::string& extra)
{
    return R"({"Metadata":{"Name":"i-)" + std::to_string(number) + R"(","Revision":)" +
           std::to_string(number) + R"(},"Specification":{"Service":"a","Slots":4,"Extra":)" + extra + "}}";
}

std::string list_of(const std::vector<std::string>& entries)
{
    std::string text;
    for (const auto& one : entries) {
        text += (text.empty() ? "" : ",") + one;
    }
    return R"({"AsOf":9,"Items":[)" + text + "]}";
}

// Guards against a small text of another program that takes more memory than its machine has.
TEST(json_memory, dense_text_ends_before_it_takes_much)
{
    for (const auto& text : dense_texts()) {
        const auto before = held_bytes();
        reset_peak();
        EXPECT_TRUE(parse_json(text).is_discarded()) << text.substr(0, 20);
        EXPECT_LE(peak_bytes() - before, max_json_memory(text.size()) * 3 / 2) << text.substr(0, 20);
        EXPECT_EQ(held_bytes(), before);
    }
}

// Guards against a count that falls behind what documents take.
TEST(json_memory, documents_take_no_more_than_their_bound)
{
    const auto texts = {repeated("0", megabyte),
                        repeated("0.5", megabyte),
                        members("0", megabyte),
                        members(R"("sixteen letters.")", megabyte),
                        repeated(R"("12345678")", megabyte),
                        repeated(R"({"name":1,"next":2})", megabyte),
                        repeated("{}", 30'000)};
    for (const auto& text : texts) {
        const auto before = held_bytes();
        const auto document = parse_json(text);
        EXPECT_FALSE(document.is_discarded()) << text.substr(0, 20);
        EXPECT_LE(held_bytes() - before, max_json_memory(text.size())) << text.substr(0, 20);
    }
}

// Guards against a large document in use that is taken for a dense one.
TEST(json_memory, usual_documents_are_read_whole)
{
    const std::string route =
        R"({"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"safe","Attempts":3,"Service":"s",)"
        R"("TimeoutMs":900,"TrafficSplit":[{"Service":"s","Weight":1},{"Service":"t","Weight":2}]})";
    const std::string item =
        R"({"Id":"b1-1","Path":"/r/","Body":"aGk=","Headers":{"Token-Counts":"255,16"}})";
    const std::string retirement =
        R"({"Metadata":{"Name":"a","Revision":7},"Specification":{},"Status":{"State":"completed"}})";
    const auto texts = {R"({"Version":1,"Routes":)" + repeated(route, megabyte) + "}",
                        R"({"Items":)" + repeated(item, 8 * megabyte) + "}",
                        list_of({entry(1, repeated("1", megabyte))}),
                        repeated(retirement, megabyte),
                        repeated(R"("i-1")", megabyte),
                        "\"" + std::string(32 * megabyte, 'a') + "\""};
    for (const auto& text : texts) {
        EXPECT_EQ(parse_json(text), json::parse(text)) << text.substr(0, 60);
        EXPECT_EQ(parse_repaired_json(text).replaced, 0U) << text.substr(0, 60);
    }
}

// Guards against a peer that refuses what another process has read with white space.
TEST(json_memory, documents_that_were_read_are_read_by_peers)
{
    const auto document = parse_json(repeated("[] ", megabyte));
    ASSERT_FALSE(document.is_discarded());
    EXPECT_TRUE(parse_json(document.dump()).is_discarded());
    EXPECT_EQ(parse_peer_json(document.dump()), document);
}

// Guards against a dense part of one entry that makes a whole list unreadable.
TEST(json_memory, dense_part_costs_only_itself)
{
    for (const auto& dense : dense_texts()) {
        const auto read = parse_repaired_json(
            list_of({entry(1, "[]"), entry(2, dense), entry(3, dense), entry(4, "1e999")}));
        EXPECT_EQ(read.document, json::parse(list_of(
                                     {entry(1, "[]"), entry(2, "null"), entry(3, "null"), entry(4, "null")})))
            << dense.substr(0, 20);
        EXPECT_EQ(read.replaced, 3U);
        EXPECT_EQ(read.replaced_at,
                  (std::vector<std::string>{"/Items/1/Specification/Extra", "/Items/2/Specification/Extra",
                                            "/Items/3/Specification/Extra"}));
    }
}

// Guards against many entries that are small, each with a part that takes many times its text.
TEST(json_memory, many_small_dense_parts_are_replaced)
{
    std::vector<std::string> entries;
    std::vector<std::string> without;
    for (std::size_t number = 0; number < 300; ++number) {
        entries.push_back(entry(number, number % 10 == 0 ? "[1]" : repeated("{}", 4000)));
        without.push_back(entry(number, number % 10 == 0 ? "[1]" : "null"));
    }
    const auto read = parse_repaired_json(list_of(entries));
    EXPECT_EQ(read.document, json::parse(list_of(without)));
    EXPECT_EQ(read.replaced, 270U);
}

TEST(json_memory, replaced_part_hides_those_inside_it)
{
    const auto read =
        parse_repaired_json(R"({"n":1e999,"a":[1e999,)" + repeated("{}", megabyte) + R"(,1e999],)" +
                            R"("b":{"c":[1e999,)" + repeated("{}", megabyte).substr(1) + "}}");
    EXPECT_EQ(read.document, json::parse(R"({"n":null,"a":[null,null,null],"b":{"c":null}})"));
    EXPECT_EQ(read.replaced, 5U);
    EXPECT_EQ(read.replaced_at, (std::vector<std::string>{"/n", "/a/0", "/a/1", "/a/2", "/b/c"}));
}

TEST(json_memory, unwanted_members_are_not_built)
{
    const std::vector<json_member> wanted{{"Model"}, {"Items", {{"Id"}, {"Fields"}}}};
    const auto text = R"({"Extra":)" + repeated("{}", 8 * megabyte) +
                      R"(,"Model":{"Extra":1},"Items":[{"Id":"1","Extra":{"Id":[2]}},{"Extra":[],"Fields":)"
                      R"({"a":{"b":[1]}}},7,[{"Extra":1,"Id":2}]],"Last":"1"})";
    const auto before = held_bytes();
    reset_peak();
    EXPECT_EQ(
        parse_json(text, max_json_depth, wanted),
        json::parse(R"({"Model":{"Extra":1},"Items":[{"Id":"1"},{"Fields":{"a":{"b":[1]}}},7,[{"Id":2}]]})"));
    EXPECT_LE(peak_bytes() - before, 2 * text.size()); // the parser keeps the text of such tokens
}

TEST(json_memory, unwanted_members_are_checked)
{
    const std::vector<json_member> wanted{{"a"}};
    for (const std::string odd : {"1e999", R"("\ud800")", "[1,]", "[[[[1]]]]"}) {
        EXPECT_TRUE(parse_json(R"({"a":1,"b":)" + odd + "}", 4, wanted).is_discarded()) << odd;
    }
    EXPECT_FALSE(parse_json(R"({"a":1,"b":[[[1]]]})", 4, wanted).is_discarded());
}

/// An array of drawn parts, some of them dense.
std::string drawn_array()
{
    std::string text = "[1";
    const auto parts = *rc::gen::inRange(1, 8);
    for (int part = 0; part < parts; ++part) {
        const auto element = *rc::gen::elementOf(std::vector<std::string>{
            "{}", "[]", "0", R"("")", R"({"a":[{}]})", R"({"name":"a long text in a string"})"});
        text += "," + repeated(element, *rc::gen::inRange<std::size_t>(10, 200'000));
    }
    return text + "]";
}

RC_GTEST_PROP(json_memory, repaired_documents_stay_within_the_bound, ())
{
    const auto text = drawn_array();
    const auto before = held_bytes();
    const auto read = parse_repaired_json(text);
    RC_ASSERT(!read.document.is_discarded());
    RC_ASSERT(held_bytes() - before <= max_json_memory(text.size()) * 101 / 100); // room for elements
    RC_ASSERT(parse_json(text).is_discarded() == (read.replaced > 0));
}

} // namespace
} // namespace vanillagauge
