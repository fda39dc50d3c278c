#include "net/net.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::net {
namespace {

TEST(http_fields, names_are_case_insensitive)
{
    http_fields fields;
    fields.add("Attempt-Id", "one");
    EXPECT_EQ(fields.find("attempt-id"), "one");
    fields.set("ATTEMPT-ID", "two");
    EXPECT_EQ(fields.all().size(), 1U);
    EXPECT_EQ(fields.find("Attempt-Id"), "two");
    EXPECT_EQ(fields.find("absent"), "");
}

TEST(is_hop_by_hop, includes_fields_listed_in_connection)
{
    EXPECT_TRUE(is_hop_by_hop("transfer-encoding", ""));
    EXPECT_TRUE(is_hop_by_hop("X-Private", "close, x-private"));
    EXPECT_FALSE(is_hop_by_hop("X-Public", "close, x-private"));
}

TEST(query_value, decodes_escapes)
{
    EXPECT_EQ(query_value("/p?After=12&Id=a%2Fb+c", "Id"), "a/b c");
    EXPECT_EQ(query_value("/p?After=12", "After"), "12");
    EXPECT_EQ(query_value("/p?After=12", "Id"), "");
    EXPECT_EQ(query_value("/p", "Id"), "");
    EXPECT_EQ(path_of("/p/q?x=1"), "/p/q");
}

// Guards against a name that ends or changes the path in which it stands.
TEST(percent_encoded, keeps_every_byte_through_a_decoder)
{
    EXPECT_EQ(percent_encoded("a-b._~9"), "a-b._~9");
    EXPECT_EQ(percent_encoded("a/b c?%\xff"), "a%2Fb%20c%3F%25%FF");
    std::string all;
    for (int code = 0; code < 256; ++code) {
        all += static_cast<char>(code);
    }
    EXPECT_EQ(percent_decoded(percent_encoded(all)), all);
    EXPECT_EQ(percent_decoded("%4"), "%4");
    EXPECT_EQ(percent_decoded("%-1%zz"), "%-1%zz");
}

// Guards against text that a peer reads as the end of one request and the start of another.
TEST(is_single_head, finds_what_ends_a_line_or_a_part_of_it)
{
    http_request request;
    request.fields.add("X-Name", "some text\twith a tab, \xc3\xa9");
    EXPECT_TRUE(is_single_head(request));
    for (const auto& text : {std::string("a\r\nb"), std::string("a\nb"), std::string("a\rb"),
                             std::string("a\0b", 3), std::string("a\x7f")}) {
        auto changed = request;
        changed.method = text;
        EXPECT_FALSE(is_single_head(changed));
        changed = request;
        changed.target = "/" + text;
        EXPECT_FALSE(is_single_head(changed));
        changed = request;
        changed.fields.add("X-Other", text);
        EXPECT_FALSE(is_single_head(changed));
        changed = request;
        changed.fields.add(text + ":", "1");
        EXPECT_FALSE(is_single_head(changed));
    }
    auto spaced = request;
    spaced.target = "/a b";
    EXPECT_FALSE(is_single_head(spaced));
    auto nameless = request;
    nameless.fields.add("", "1");
    EXPECT_FALSE(is_single_head(nameless));
}

TEST(event_reader, parses_events_split_across_reads)
{
    event_reader reader;
    EXPECT_TRUE(reader.feed("id: 1\nda").empty());
    EXPECT_TRUE(reader.has_partial_event());
    const auto first = reader.feed("ta: one\n\nweight-versions: 7\nid: 2\ndata: two\ndata: lines\r\n\n");
    ASSERT_EQ(first.size(), 2U);
    EXPECT_EQ(first[0].data, "one");
    EXPECT_EQ(first[1].id, 2U);
    EXPECT_EQ(first[1].data, "two\nlines");
    EXPECT_EQ(first[1].other_fields.find("Weight-Versions"), "7");
    EXPECT_FALSE(reader.has_partial_event());
}

TEST(event_reader, drops_comments_and_non_numeric_ids)
{
    event_reader reader;
    EXPECT_TRUE(reader.feed(": keep-alive\n\n").empty());
    const auto events = reader.feed("id: x\ndata: d\n\n");
    ASSERT_EQ(events.size(), 1U);
    EXPECT_FALSE(events[0].id);
}

TEST(idle_time_of, subtracts_close_margin)
{
    http_fields fields;
    EXPECT_EQ(idle_time_of(fields, seconds(4)), seconds(4));
    fields.add("Keep-Alive", "timeout=2");
    EXPECT_EQ(idle_time_of(fields, seconds(4)), milliseconds(1600));
    fields.set("Keep-Alive", "timeout=0");
    EXPECT_EQ(idle_time_of(fields, seconds(4)), milliseconds(0));
}

} // namespace
} // namespace vanillagauge::net
