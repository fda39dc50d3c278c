#include "claims/claims.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::claims {
namespace {

const claim_pair pair{{"vm-1", 7}, {"vm-2", 9}};
constexpr std::int64_t now = 1000;
constexpr std::int64_t expiry = 61000;
constexpr std::uint64_t charge = 11;
constexpr std::uint64_t other_charge = 12;

call_key key(const std::string& suffix, std::int64_t expires_ms = expiry)
{
    return {pair, expires_ms, suffix};
}

template <class Action>
std::vector<Action> all(const primary_actions& actions)
{
    std::vector<Action> found;
    for (const auto& action : actions) {
        if (const auto* wanted = std::get_if<Action>(&action)) {
            found.push_back(*wanted);
        }
    }
    return found;
}

error only_error(const primary_actions& actions)
{
    const auto replies = all<send_reply>(actions);
    EXPECT_EQ(replies.size(), 1U);
    return failure(replies.at(0).answer.answer);
}

/// A primary with one settled call.
primary settled_primary(const call_key& ran)
{
    primary side;
    side.call(ran, charge, 1, now);
    side.acknowledged(ran, now);
    side.finished(ran, std::string("paid"));
    return side;
}

TEST(primary_side, dispatches_only_after_the_backup_has_recorded_the_claim)
{
    primary side;
    const auto called = side.call(key("a"), charge, 1, now);
    EXPECT_EQ(all<send_record>(called).size(), 1U);
    EXPECT_TRUE(all<dispatch_call>(called).empty());
    const auto recorded = side.acknowledged(key("a"), now);
    EXPECT_EQ(all<dispatch_call>(recorded).size(), 1U);
}

TEST(primary_side, a_duplicate_or_mismatched_acknowledgement_dispatches_nothing)
{
    primary side;
    side.call(key("a"), charge, 1, now);
    EXPECT_TRUE(side.acknowledged(key("b"), now).empty());
    EXPECT_EQ(side.acknowledged(key("a"), now).size(), 1U);
    EXPECT_TRUE(side.acknowledged(key("a"), now).empty());
    side.finished(key("a"), std::string("paid"));
    EXPECT_TRUE(side.acknowledged(key("a"), now).empty());
}

TEST(primary_side, a_repeat_gets_the_stored_answer_without_a_run)
{
    auto side = settled_primary(key("a"));
    const auto replies = all<send_reply>(side.call(key("a"), charge, 2, now));
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_TRUE(replies[0].answer.repeated);
    EXPECT_EQ(value(replies[0].answer.answer), "paid");
}

TEST(primary_side, a_repeat_during_the_run_gets_the_answer_of_the_first)
{
    primary side;
    side.call(key("a"), charge, 1, now);
    side.acknowledged(key("a"), now);
    EXPECT_TRUE(side.call(key("a"), charge, 2, now).empty());
    const auto replies = all<send_reply>(side.finished(key("a"), std::string("paid")));
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_FALSE(replies[0].answer.repeated);
    EXPECT_TRUE(replies[1].answer.repeated);
}

TEST(primary_side, another_request_under_a_used_key_is_refused)
{
    auto side = settled_primary(key("a"));
    const auto refused = only_error(side.call(key("a"), other_charge, 2, now));
    EXPECT_EQ(refused.code, error_code::conflict);
    EXPECT_EQ(refused.ran, run_state::not_run);
}

TEST(primary_side, a_refused_claim_stays_refused_when_its_acknowledgement_comes_late)
{
    primary side;
    side.call(key("a"), charge, 1, now);
    EXPECT_EQ(only_error(side.refused(key("a"), refusal::backup_unreachable)).ran, run_state::not_run);
    EXPECT_TRUE(side.acknowledged(key("a"), now).empty());
    const auto again = side.call(key("a"), charge, 2, now);
    EXPECT_TRUE(all<send_record>(again).empty());
    EXPECT_EQ(only_error(again).ran, run_state::not_run);
}

TEST(primary_side, a_closed_pair_is_renewed_once_and_refuses_further_keys_at_once)
{
    primary side;
    side.call(key("a"), charge, 1, now);
    side.call(key("b"), charge, 2, now);
    EXPECT_EQ(all<renew_pair>(side.refused(key("a"), refusal::pair_closed)).size(), 1U);
    EXPECT_TRUE(all<renew_pair>(side.refused(key("b"), refusal::pair_closed)).empty());
    const auto third = side.call(key("c"), charge, 3, now);
    EXPECT_TRUE(all<send_record>(third).empty());
    EXPECT_EQ(only_error(third).ran, run_state::not_run);
}

TEST(primary_side, an_expired_key_is_in_doubt_and_never_run_even_if_the_clock_steps_back)
{
    auto side = settled_primary(key("a"));
    side.expire(expiry);
    EXPECT_EQ(side.keys(), 0U);
    const auto late = side.call(key("a"), charge, 2, now);
    EXPECT_TRUE(all<send_record>(late).empty());
    EXPECT_EQ(only_error(late).code, error_code::expired_key);
    EXPECT_EQ(only_error(late).ran, run_state::in_doubt);
}

TEST(primary_side, a_key_that_expires_while_it_is_recorded_is_not_dispatched)
{
    primary side;
    side.call(key("a"), charge, 1, now);
    const auto late = side.acknowledged(key("a"), expiry);
    EXPECT_TRUE(all<dispatch_call>(late).empty());
    EXPECT_EQ(only_error(late).ran, run_state::not_run);
}

TEST(primary_side, a_key_that_expires_during_its_run_still_answers_its_callers)
{
    primary side;
    side.call(key("a"), charge, 1, now);
    side.acknowledged(key("a"), now);
    side.expire(expiry + 1);
    EXPECT_EQ(all<send_reply>(side.finished(key("a"), std::string("paid"))).size(), 1U);
    EXPECT_EQ(side.keys(), 0U);
}

TEST(primary_side, a_claim_without_waiters_is_not_dispatched)
{
    primary side;
    side.call(key("a"), charge, 1, now);
    EXPECT_EQ(only_error(side.remove_waiter(key("a"), 1)).ran, run_state::in_doubt);
    EXPECT_TRUE(all<dispatch_call>(side.acknowledged(key("a"), now)).empty());
}

TEST(primary_side, a_stopping_primary_refuses_new_keys_and_hands_over_its_records)
{
    auto side = settled_primary(key("a"));
    side.freeze();
    EXPECT_EQ(only_error(side.call(key("b"), charge, 2, now)).code, error_code::draining);
    EXPECT_EQ(side.unsettled(), 0U);
    const auto memory = side.settled_records();
    ASSERT_EQ(memory.size(), 1U);
    EXPECT_EQ(memory.at(pair).size(), 2U);
}

TEST(primary_side, keys_beyond_the_limit_are_refused)
{
    primary side(memory_limits{.keys = 8, .keys_per_pair = 8});
    int admitted = 0;
    for (int index = 0; index < 20; ++index) {
        const auto id = "k" + std::to_string(index);
        const auto actions = side.call(key(id), charge, static_cast<waiter_id>(index), now);
        admitted += static_cast<int>(all<send_record>(actions).size());
        EXPECT_LE(side.keys(), 8U);
    }
    EXPECT_EQ(admitted, 6);
    // A refusal that cannot be recorded must not promise that the key never runs.
    EXPECT_EQ(only_error(side.call(key("late"), charge, 99, now)).ran, run_state::in_doubt);
    for (int index = 0; index < admitted; ++index) {
        side.refused(key("k" + std::to_string(index)), refusal::backup_unreachable);
    }
    side.expire(expiry);
    EXPECT_EQ(side.keys(), 0U);
    EXPECT_EQ(all<send_record>(side.call(key("new", expiry + 1), charge, 100, expiry)).size(), 1U);
}

TEST(primary_side, an_answer_too_long_to_store_is_delivered_and_repeats_report_that_it_ran)
{
    primary side(memory_limits{.max_answer_bytes = 4});
    side.call(key("a"), charge, 1, now);
    side.acknowledged(key("a"), now);
    const auto replies = all<send_reply>(side.finished(key("a"), std::string("a long receipt")));
    EXPECT_EQ(value(replies.at(0).answer.answer), "a long receipt");
    EXPECT_EQ(only_error(side.call(key("a"), charge, 2, now)).ran, run_state::ran);
}

TEST(backup_side, acknowledges_nothing_after_it_has_closed_the_pair)
{
    // A primary is paused before it sends its claim, and the backup takes over and answers "not run". An
    // acknowledgement of the late claim would make this answer wrong.
    backup side;
    const auto reply = side.take_over(key("a"), charge, now);
    EXPECT_EQ(failure(reply.answer).ran, run_state::not_run);
    EXPECT_EQ(side.record(key("a"), charge, now), record_status::closed);
}

TEST(backup_side, a_recorded_claim_is_in_doubt_until_its_outcome_arrives)
{
    backup side;
    EXPECT_EQ(side.record(key("a"), charge, now), record_status::recorded);
    EXPECT_EQ(failure(side.take_over(key("a"), charge, now).answer).ran, run_state::in_doubt);
    side.settle({key("a"), charge, std::string("paid")}, now);
    const auto reply = side.take_over(key("a"), charge, now);
    EXPECT_EQ(value(reply.answer), "paid");
    EXPECT_TRUE(reply.repeated);
    EXPECT_EQ(failure(side.take_over(key("a"), other_charge, now).answer).code, error_code::conflict);
}

TEST(backup_side, a_repeated_claim_is_recorded_again_but_not_for_another_request)
{
    backup side;
    side.record(key("a"), charge, now);
    EXPECT_EQ(side.record(key("a"), charge, now), record_status::recorded);
    EXPECT_EQ(side.record(key("a"), other_charge, now), record_status::other_request);
    EXPECT_EQ(side.keys(), 1U);
}

TEST(backup_side, a_removed_key_stays_expired_even_if_the_clock_steps_back)
{
    backup side;
    side.record(key("a"), charge, now);
    side.expire(expiry);
    EXPECT_EQ(side.keys(), 0U);
    const auto reply = side.take_over(key("a"), charge, now);
    EXPECT_EQ(failure(reply.answer).code, error_code::expired_key);
    EXPECT_EQ(failure(reply.answer).ran, run_state::in_doubt);
}

TEST(backup_side, closing_covers_older_incarnations_of_the_primary_and_no_newer_one)
{
    backup side;
    side.close(pair);
    EXPECT_TRUE(side.closed({{"vm-1", 6}, {"vm-2", 9}}));
    EXPECT_FALSE(side.closed({{"vm-1", 8}, {"vm-2", 9}}));
    EXPECT_FALSE(side.closed({{"vm-3", 7}, {"vm-2", 9}}));
}

TEST(backup_side, a_hand_over_closes_the_pair_and_stores_the_answers)
{
    backup side;
    side.record(key("a"), charge, now);
    side.accept_transfer(pair, {{key("a"), charge, std::string("paid")}}, now);
    EXPECT_TRUE(side.closed(pair));
    EXPECT_EQ(value(side.take_over(key("a"), charge, now).answer), "paid");
    EXPECT_EQ(failure(side.take_over(key("b"), charge, now).answer).ran, run_state::not_run);
}

TEST(backup_side, a_claim_beyond_the_limit_is_refused)
{
    backup side(memory_limits{.keys = 2, .keys_per_pair = 2});
    side.record(key("a"), charge, now);
    side.record(key("b"), charge, now);
    EXPECT_EQ(side.record(key("c"), charge, now), record_status::full);
    EXPECT_EQ(side.keys(), 2U);
}

TEST(pair_role, a_restarted_process_loses_its_role_for_older_keys)
{
    EXPECT_EQ(role_of(pair, "vm-1", {7}), pair_role::primary);
    EXPECT_EQ(role_of(pair, "vm-1", {8}), pair_role::restarted_primary);
    EXPECT_EQ(role_of(pair, "vm-1", {7, 8}), pair_role::primary);
    EXPECT_EQ(role_of(pair, "vm-2", {9}), pair_role::backup);
    EXPECT_EQ(role_of(pair, "vm-2", {10}), pair_role::restarted_backup);
    EXPECT_EQ(role_of(pair, "vm-3", {9}), pair_role::neither);
}

} // namespace
} // namespace vanillagauge::claims
