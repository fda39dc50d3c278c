#include "../odd_json.hpp"
#include "ctl/span_tree.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace vanillagauge::ctl {
namespace {

const std::string trace_id = "0af7651916cd43dd8448eb211c80319c";

std::string line(const std::string& span, const std::string& parent, const std::string& name, long start,
                 long end, const std::string& note = "", const std::string& trace = trace_id)
{
    const std::string attribute =
        note.empty() ? "" : R"({"key":"request_id","value":{"stringValue":")" + note + "\"}}";
    return R"({"resourceSpans":[{"resource":{"attributes":[{"key":"service.name","value":{"stringValue":"vg-entry"}},)"
           R"({"key":"vm","value":{"stringValue":"aph-1"}}]},"scopeSpans":[{"spans":[{"traceId":")" +
           trace + R"(","spanId":")" + span + R"(","parentSpanId":")" + parent + R"(","name":")" + name +
           R"(","startTimeUnixNano":")" + std::to_string(start) + R"(","endTimeUnixNano":")" +
           std::to_string(end) + R"(","attributes":[)" + attribute + "]}]}]}]}\n";
}

TEST(span_tree, sorts_children_under_their_parent_by_start_time)
{
    const auto spans =
        parse_spans(line("c", "a", "second", 3000000, 4000000) + line("b", "a", "first", 1500000, 2000000) +
                    line("a", "", "entry.call", 1000000, 5000000));
    const auto hops = build_tree(spans, trace_id);
    ASSERT_EQ(hops.size(), 1U);
    ASSERT_EQ(hops.front().children.size(), 2U);
    EXPECT_EQ(hops.front().children[0].span.name, "first");
    EXPECT_EQ(hops.front().children[1].span.name, "second");
    const auto text = tree_text(trace_id, hops);
    EXPECT_NE(text.find("  first     vg-entry  aph-1  +0.500    0.500"), std::string::npos) << text;
}

TEST(span_tree, keeps_a_span_whose_parent_is_missing)
{
    const auto spans = parse_spans(line("b", "gone", "target.call", 1, 2));
    EXPECT_EQ(build_tree(spans, trace_id).size(), 1U);
}

TEST(span_tree, terminates_on_a_cycle_of_parents)
{
    const auto spans = parse_spans(line("a", "b", "one", 1, 2) + line("b", "a", "two", 1, 2));
    const auto hops = build_tree(spans, trace_id);
    ASSERT_EQ(hops.size(), 1U);
    EXPECT_EQ(hops.front().children.size(), 1U);
}

// Guards against a file that ends vgctl by a chain of calls that no request makes.
TEST(span_tree, shows_all_spans_of_an_immense_chain)
{
    constexpr int length = 30'000;
    std::string text;
    for (int index = 0; index < length; ++index) {
        text += line("s" + std::to_string(index), "s" + std::to_string(index - 1), "hop", index, index + 1);
    }
    const auto hops = build_tree(parse_spans(text), trace_id);
    const auto rows = tree_text(trace_id, hops);
    EXPECT_EQ(std::count(rows.begin(), rows.end(), '\n'), length + 2);
    EXPECT_FALSE(tree_json(trace_id, hops).empty());
}

TEST(span_file, skips_a_truncated_line)
{
    const auto whole = line("a", "", "entry.call", 1, 2);
    EXPECT_EQ(parse_spans(whole.substr(0, whole.size() / 2) + "\n" + whole).size(), 1U);
}

// Guards against a line that ends vgctl as its attributes are copied.
TEST(span_file, skips_a_deeply_nested_line)
{
    const auto sound = line("a", "", "entry.call", 1, 2);
    const auto odd = replaced(sound, "{\"key\":\"vm\"", nested_arrays() + ",{\"key\":\"vm\"");
    EXPECT_EQ(parse_spans(odd + sound).size(), 1U);
}

TEST(trace_search, accepts_a_trace_id_a_traceparent_or_a_request_id)
{
    const auto spans = parse_spans(line("x", "", "other", 1, 2, "r-0", std::string(32, 'f')) +
                                   line("a", "", "entry.call", 1, 2, "r-1"));
    EXPECT_EQ(find_trace(spans, trace_id), trace_id);
    EXPECT_EQ(find_trace(spans, "00-" + trace_id + "-b7ad6b7169203331-01"), trace_id);
    EXPECT_EQ(find_trace(spans, "r-1"), trace_id);
    EXPECT_EQ(find_trace(spans, "r-2"), std::nullopt);
}

} // namespace
} // namespace vanillagauge::ctl
