#include "../odd_json.hpp"
#include "ctl/request_timeline.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::ctl {
namespace {

std::string event(int time_ms, const std::string& vm, const std::string& name, const std::string& more = "")
{
    return R"({"time_ms":)" + std::to_string(time_ms) + R"(,"level":"info","program":"vg-gateway","vm":")" +
           vm + R"(","event":")" + name + "\"" + (more.empty() ? "" : "," + more) + "}\n";
}

std::vector<std::string> events_of(const request_timeline& timeline)
{
    std::vector<std::string> events;
    for (const auto& entry : timeline.lines) {
        events.push_back(entry.line.vm + " " + entry.line.event);
    }
    return events;
}

// Guards against a rejected request shown without the loss of the store on its VM that caused it, or with
// events of other VMs.
TEST(request_timeline, includes_state_changes_of_the_vm_before_a_rejection)
{
    const auto lines =
        parse_log(event(50, "a", "configuration_in_force", R"("version":2)") +
                  event(9000, "a", "store_lost", R"("why":"refused")") +
                  event(9100, "b", "store_lost", R"("why":"refused")") +
                  event(9500, "a", "request_ended", R"("request":"another","outcome":"status 200")") +
                  event(19000, "a", "request_ended", R"("request":"x1","outcome":"no replica")") +
                  event(19500, "a", "store_reached_again"));
    const auto timeline = build_timeline(lines, "x1");
    EXPECT_EQ(events_of(timeline), (std::vector<std::string>{"a store_lost", "a request_ended"}));
    EXPECT_EQ(timeline.lines.back().role, line_role::own);
    const auto text = timeline_text("x1", timeline);
    EXPECT_NE(text.find("  -10.000 s  a  store_lost why=refused\n"), std::string::npos) << text;
    EXPECT_NE(text.find("* +0.000 s  a  request_ended outcome=no replica request=x1\n"), std::string::npos)
        << text;
}

// Guards against a late item shown without the move of its batch to another VM and the late weight orders.
TEST(request_timeline, joins_an_item_with_its_batch_and_the_weight_orders)
{
    const auto lines = parse_log(
        event(1000, "a", "batch_submitted", R"("request":"b1","outcome":"accepted")") +
        event(1001, "a", "batch_taken", R"("batch":"b1","least_version":2)") +
        event(1500, "c", "lease_lost", R"("why":"conflict")") +
        event(1600, "d", "version_named", R"("version":2)") +
        event(1600, "b", "version_named", R"("version":2)") +
        event(2000, "b", "batch_taken", R"("batch":"b1")") +
        event(3000, "c", "weights_ordered", R"("replica":"r1@0","version":2)") +
        event(3000, "c", "weights_ordered", R"("replica":"r2@0","version":2)") +
        event(3400, "b", "item_completed", R"("request":"i8","batch":"b1","replica":"r2@0")") +
        event(3500, "b", "item_completed", R"("request":"i7","batch":"b1","replica":"r1@0","age_ms":2500)"));
    EXPECT_EQ(
        events_of(build_timeline(lines, "i7")),
        (std::vector<std::string>{"a batch_submitted", "a batch_taken", "c lease_lost", "b version_named",
                                  "b batch_taken", "c weights_ordered", "b item_completed"}));
}

TEST(request_timeline, skips_collector_prefixes_and_lines_that_are_not_events)
{
    const auto lines =
        parse_log("12.5 front-1 " + event(7, "a", "ready") + "half a li\n{\"event\":3}\n{\"time");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines.front().event, "ready");
    EXPECT_EQ(lines.front().time, milliseconds(7));
    EXPECT_TRUE(build_timeline(lines, "none").lines.empty());
}

TEST(request_timeline, keeps_the_nearest_context_and_counts_the_omitted_lines)
{
    std::string text;
    for (int at = 0; at < 100; ++at) {
        text += event(at, "a", "feeds_source", R"("source":"store")");
    }
    const auto timeline =
        build_timeline(parse_log(text + event(200, "a", "request_ended", R"("request":"x1")")), "x1");
    EXPECT_EQ(timeline.left_out, 60U);
    EXPECT_EQ(timeline.lines.front().line.time, milliseconds(60));
    EXPECT_EQ(timeline.lines.size(), 41U);
}

// Guards against a log line that ends vgctl, so that the sound lines are not shown either.
TEST(request_timeline, skips_lines_with_odd_members)
{
    const std::string sound = event(1, "a", "request_ended", R"("request":"x1")");
    std::string text = sound;
    text += replaced(sound, "\"a\"", "7");
    text += replaced(sound, "\"info\"", "{}");
    for (const auto& odd : odd_counts()) {
        if (odd != "-1" && odd != "-9223372036854775808") {
            text += replaced(sound, ":1,", ":" + odd + ",");
        }
    }
    text += replaced(sound, "\"x1\"", R"("x1","more":)" + nested_arrays());
    const auto timeline = build_timeline(parse_log(text), "x1");
    EXPECT_EQ(events_of(timeline), (std::vector<std::string>{"a request_ended"}));
    EXPECT_FALSE(timeline_text("x1", timeline).empty());
    EXPECT_FALSE(timeline_json("x1", timeline).empty());
}

TEST(request_timeline, shows_bytes_that_are_not_text_as_replaced)
{
    const auto lines = parse_log(event(1, "a", "request_ended", R"("request":"x1")"));
    const auto timeline = build_timeline(lines, "x1");
    EXPECT_FALSE(timeline_json("x\xff", timeline).empty());
}

} // namespace
} // namespace vanillagauge::ctl
