#include "policy/expiry_grace.hpp"
#include "policy/feed_plan.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

constexpr time_point start{seconds{100}};

TEST(expiry_grace, begins_with_the_first_answer_after_an_outage)
{
    expiry_grace grace;
    grace.on_answer(start);
    EXPECT_EQ(grace.ends_at(), time_point{});
    grace.on_failure(start + seconds{1});
    grace.on_answer(start + seconds{3});
    EXPECT_GE(grace.ends_at(), start + seconds{5});
    EXPECT_LE(grace.ends_at(), start + milliseconds{5500});
    const auto ends_at = grace.ends_at();
    grace.on_answer(start + milliseconds{3500});
    EXPECT_EQ(grace.ends_at(), ends_at) << "renewals are due by the store's return, not by the last answer";
}

// Guards against a gateway that changes its source, or has to ask the store itself, and takes the time
// without an answer for an outage.
TEST(expiry_grace, ignores_the_time_to_find_another_way_to_the_store)
{
    expiry_grace grace;
    for (milliseconds at{0}; at < seconds{20}; at += milliseconds{1400}) {
        grace.on_failure(start + at - milliseconds{700});
        grace.on_answer(start + at);
        grace.on_answer(start + at - milliseconds{200}); // an older copy from another source
    }
    EXPECT_EQ(grace.ends_at(), time_point{});
}

// Guards against a failure that a peer had before its last answer and that is dated when it is told: the next
// time in which no gateway asks would then count as an outage.
TEST(expiry_grace, dates_a_failure_by_when_it_happened_at_the_peer)
{
    constexpr milliseconds held{0};
    expiry_grace grace;
    grace.on_answer(time_at_peer(start, held, milliseconds{300}));
    grace.on_failure(time_at_peer(start, held, milliseconds{200}));
    grace.on_answer(time_at_peer(start + milliseconds{50}, held, milliseconds{100}));
    grace.on_answer(start + seconds{3});
    EXPECT_EQ(grace.ends_at(), time_point{});
}

// Guards against gateways that are held up together and take the time in which none of them asked for an
// outage.
TEST(expiry_grace, needs_a_failed_call)
{
    expiry_grace grace;
    grace.on_failure(start - seconds{1});
    grace.on_answer(start);
    grace.on_answer(start + seconds{3});
    EXPECT_EQ(grace.ends_at(), time_point{});
}

} // namespace
} // namespace vanillagauge::policy
