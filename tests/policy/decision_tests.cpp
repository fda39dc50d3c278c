#include "policy/policy.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

const time_point start{std::chrono::hours{1}};

TEST(retry_budget, holds_retries_to_a_share_of_the_requests)
{
    retry_budget budget;
    int retried = 0;
    for (int place = 0; place < 10000; ++place) {
        budget.on_request();
        retried += budget.take(start) ? 1 : 0;
    }
    EXPECT_LE(retried, 2011);
    EXPECT_GE(retried, 1900);
}

TEST(retry_budget, lets_a_quiet_group_retry_after_a_while)
{
    retry_budget budget;
    while (budget.take(start)) {
    }
    EXPECT_FALSE(budget.take(start + milliseconds{500}));
    EXPECT_TRUE(budget.take(start + milliseconds{1600}));
}

TEST(retry, is_safe_only_for_idempotent_calls_or_what_did_not_run)
{
    const error broke{error_code::unavailable, run_state::in_doubt, ""};
    const error refused{error_code::unavailable, run_state::not_run, ""};
    const error wrong{error_code::invalid_argument, run_state::not_run, ""};
    EXPECT_TRUE(retry_is_safe(broke, true));
    EXPECT_FALSE(retry_is_safe(broke, false));
    EXPECT_TRUE(retry_is_safe(refused, false));
    EXPECT_FALSE(retry_is_safe(wrong, true));
}

// A request crashes the target that runs it and its caller sends it again, through whichever node. After two
// targets it is refused everywhere as not run, until the record has run out.
TEST(quarantine, holds_a_request_that_lost_two_targets_on_every_node)
{
    const auto poison = request_fingerprint("reply-lm", "Generate", "bad");
    quarantine first;
    quarantine second;
    first.on_crash(poison, "engine-1", start, start);
    first.on_crash(poison, "engine-1", start, start);
    EXPECT_TRUE(ok(first.check(poison, start)));
    second.merge(first.shared(start), start);
    second.on_crash(poison, "engine-2", start, start);
    first.merge(second.shared(start), start);
    for (const auto* node : {&first, &second}) {
        const auto held = node->check(poison, start);
        ASSERT_FALSE(ok(held));
        EXPECT_EQ(failure(held).code, error_code::quarantined);
        EXPECT_EQ(failure(held).ran, run_state::not_run);
        EXPECT_GT(failure(held).retry_after.count(), 0);
        EXPECT_TRUE(ok(node->check(poison, start + std::chrono::minutes{11})));
    }
}

TEST(quarantine, clears_a_request_that_was_only_there_when_targets_were_lost)
{
    quarantine node;
    node.on_crash(7, "engine-1", start, start);
    node.on_answer(7);
    node.on_crash(7, "engine-2", start, start);
    EXPECT_TRUE(ok(node.check(7, start)));
}

// Two targets are lost to one request. Pooled connections to them break under later, innocent requests, which
// would all be refused for ten minutes if each broken connection counted as a crash.
TEST(quarantine, does_not_suspect_requests_sent_after_a_target_was_lost)
{
    quarantine node;
    node.on_crash(7, "engine-1", start, start + milliseconds{5});
    node.on_crash(7, "engine-2", start, start + milliseconds{10});
    EXPECT_FALSE(ok(node.check(7, start + seconds{1})));
    const auto later = start + seconds{1};
    node.on_crash(8, "engine-1", later, later + milliseconds{1});
    node.on_crash(8, "engine-2", later, later + milliseconds{2});
    EXPECT_TRUE(ok(node.check(8, later + milliseconds{3})));
}

TEST(quarantine, keeps_its_memory_bounded_and_what_it_holds)
{
    quarantine node;
    node.on_crash(1, "engine-1", start, start);
    node.on_crash(1, "engine-2", start, start);
    for (std::uint64_t suspect = 2; suspect < 5000; ++suspect) {
        node.on_crash(suspect, "engine-3", start, start + seconds{1});
    }
    EXPECT_LE(node.size(), 1024U);
    EXPECT_FALSE(ok(node.check(1, start + seconds{2})));
}

TEST(load_hint, moves_slowly_and_never_to_nothing)
{
    load_hint hint;
    hint.on_report({100, 0, 10, {}}, start);
    EXPECT_NEAR(hint.weight(start), 0.9, 1e-9);
    for (int place = 0; place < 100; ++place) {
        hint.on_report({100, 0, 10, {}}, start);
    }
    EXPECT_NEAR(hint.weight(start), 0.25, 1e-9);
    EXPECT_FALSE(hint.may_grow(start));
    EXPECT_NEAR(hint.weight(start + seconds{4}), 1.0, 1e-9);
}

TEST(load_hint, ignores_a_report_that_is_too_old)
{
    load_hint hint;
    hint.on_report({100, 0, 10, seconds{5}}, start);
    EXPECT_NEAR(hint.weight(start), 1.0, 1e-9);
}

TEST(concurrency_limit, one_burst_of_failures_cuts_once)
{
    concurrency_limit limit(16);
    const int before = limit.limit();
    for (int place = 0; place < 30; ++place) {
        limit.on_failure(start);
    }
    EXPECT_GE(limit.limit(), before / 2);
    EXPECT_LT(limit.limit(), before);
}

// The latency without a queue changes for good, say after a weight swap to a larger model. A baseline that is
// never measured again would hold the limit at its least for ever.
TEST(concurrency_limit, finds_a_new_baseline)
{
    concurrency_limit limit(16);
    auto now = start;
    const auto play = [&](milliseconds latency, int answers) {
        for (int place = 0; place < answers; ++place) {
            now += milliseconds{10};
            limit.on_answer(latency, limit.limit(), true, now);
        }
    };
    play(milliseconds{10}, 500);
    const int before = limit.limit();
    play(milliseconds{50}, 300);
    EXPECT_LT(limit.limit(), before / 2);
    play(milliseconds{50}, 3000);
    EXPECT_GT(limit.limit(), before / 2);
}

TEST(fair_queue, refuses_a_request_whose_deadline_has_passed_as_not_run)
{
    fair_queue queue(1);
    work item;
    item.deadline = start;
    const auto refused = queue.push(item, start);
    ASSERT_FALSE(ok(refused));
    EXPECT_EQ(failure(refused).code, error_code::deadline_exceeded);
    EXPECT_EQ(failure(refused).ran, run_state::not_run);
}

// The queue is full of one caller's requests. Another caller's, and a gate terminal's, still get in: the hot
// caller's newest are turned away for them, with advice.
TEST(fair_queue, a_full_queue_makes_room_for_others_at_the_hot_callers_cost)
{
    fair_queue queue(1);
    std::uint64_t id = 0;
    const auto push = [&](const std::string& caller, priority urgency) {
        work item;
        item.id = ++id;
        item.caller = caller;
        item.urgency = urgency;
        item.deadline = start + seconds{2};
        return ok(queue.push(item, start));
    };
    while (push("hot", priority::member)) {
    }
    const auto full = queue.size();
    EXPECT_TRUE(push("quiet", priority::member));
    EXPECT_TRUE(push("gate", priority::gate));
    EXPECT_FALSE(push("batch", priority::batch));
    EXPECT_EQ(queue.size(), full);
    const auto refused = queue.collect_refused(start);
    ASSERT_EQ(refused.size(), 2U);
    EXPECT_EQ(refused[0].reason.ran, run_state::not_run);
    EXPECT_GT(refused[0].reason.retry_after.count(), 0);
    EXPECT_EQ(queue.pop().caller, "gate");
}

} // namespace
} // namespace vanillagauge::policy
