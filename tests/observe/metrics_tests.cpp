#include "observe/observe.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::observe {
namespace {

TEST(metrics_page, shows_counters_gauges_and_quantiles)
{
    metrics series;
    series.add("calls_total{code=\"ok\"}", 2);
    series.set("load", 0.5);
    for (int count = 0; count < 100; ++count) {
        series.record("call_seconds", milliseconds{10});
    }
    const auto page = series.page();
    EXPECT_NE(page.find("calls_total{code=\"ok\"} 2"), std::string::npos) << page;
    EXPECT_NE(page.find("load 0.5"), std::string::npos) << page;
    EXPECT_NE(page.find("call_seconds_count 100"), std::string::npos) << page;
    EXPECT_NE(page.find("quantile=\"0.99"), std::string::npos) << page;
}

TEST(metrics_page, groups_the_lines_of_a_family_under_one_type)
{
    metrics series;
    series.add("calls_total{code=\"ok\"}");
    series.add("calls_total{code=\"overloaded\"}");
    series.add("calls_total_refused");
    series.record("call_seconds{kind=\"a\"}", milliseconds{10});
    series.record("call_seconds{kind=\"b\"}", milliseconds{10});
    const auto page = series.page();
    EXPECT_NE(page.find("# TYPE calls_total counter\ncalls_total{code=\"ok\"} 1\ncalls_total{code="),
              std::string::npos)
        << page;
    const auto first = page.find("# TYPE call_seconds summary\n");
    ASSERT_NE(first, std::string::npos) << page;
    EXPECT_EQ(page.find("# TYPE call_seconds summary\n", first + 1), std::string::npos) << page;
    EXPECT_NE(page.find("call_seconds_count{kind=\"b\"} 1"), std::string::npos) << page;
}

TEST(traceparent_header, round_trips)
{
    const trace_context sent{"0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"};
    const auto received = parse_traceparent(traceparent(sent));
    EXPECT_EQ(received.trace_id, sent.trace_id);
    EXPECT_EQ(received.span_id, sent.span_id);
}

TEST(traceparent_header, starts_a_new_trace_if_malformed)
{
    EXPECT_EQ(parse_traceparent("00-zz-11-01").trace_id.size(), 32U);
    EXPECT_EQ(parse_traceparent("").trace_id.size(), 32U);
}

} // namespace
} // namespace vanillagauge::observe
