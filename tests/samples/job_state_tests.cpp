#include "samples/samples.hpp"

#include <gtest/gtest.h>

#include <set>

namespace vanillagauge::samples {
namespace {

constexpr time_point start{};

job_shape small_job(int lookahead = 0)
{
    return {.job = "job",
            .group_size = 2,
            .groups = 2,
            .max_staleness = 2,
            .planned_staleness = 2,
            .lookahead = lookahead};
}

void finish(job_state& job, const attempt& stream, std::uint64_t version, int tokens = 4)
{
    std::vector<attempt> losers;
    ASSERT_TRUE(job.on_chunk(stream.id, "text", version, tokens, start));
    const auto made = job.on_generated(stream.id, losers);
    ASSERT_TRUE(made.has_value());
    job.on_ready(stream.id, *made);
}

/// Fills every idle slot of the step.
void fill(job_state& job, std::int64_t step, std::uint64_t version)
{
    for (auto next = job.next_slot(); next && next->slot.step == step; next = job.next_slot()) {
        finish(job, job.begin(next->slot, "engine", start), version);
    }
}

cursor begin_step(std::int64_t step)
{
    return empty_cursor("job", step, small_job().slots());
}

TEST(job_state, delivers_each_slot_once_as_the_cursor_advances)
{
    job_state job(small_job());
    auto position = begin_step(0);
    std::set<slot_key> seen;
    for (std::uint64_t version = 1; version <= 3; ++version) {
        job.on_pull(position, version);
        fill(job, position.step, version);
        while (!complete(position)) {
            const auto taken = job.collect(position, version, 3);
            for (const auto& item : taken.samples) {
                EXPECT_TRUE(seen.insert(item.slot).second);
            }
            position = taken.next;
        }
        const auto next = job.resolve(position);
        ASSERT_TRUE(ok(next));
        position = value(next);
    }
    EXPECT_EQ(seen.size(), 12U);
}

// The reply with the samples is lost and the trainer presents the same cursor again: other slots in their
// place would lose these.
TEST(job_state, delivers_the_same_slots_again_for_the_same_cursor)
{
    job_state job(small_job());
    job.on_pull(begin_step(0), 1);
    fill(job, 0, 1);
    const auto lost = job.collect(begin_step(0), 1, 2);
    job.on_pull(begin_step(0), 1);
    const auto repeated = job.collect(begin_step(0), 1, 2);
    ASSERT_EQ(repeated.samples.size(), 2U);
    EXPECT_EQ(repeated.samples[0].slot, lost.samples[0].slot);
    EXPECT_EQ(repeated.next, lost.next);
}

TEST(job_state, refuses_outdated_and_foreign_cursors_as_stale)
{
    job_state job(small_job());
    job.on_pull(begin_step(3), 1);
    const auto old = job.resolve(begin_step(2));
    const auto foreign = job.resolve(empty_cursor("another", 3, 4));
    const auto resized = job.resolve(empty_cursor("job", 3, 8));
    for (const auto* refused : {&old, &foreign, &resized}) {
        ASSERT_FALSE(ok(*refused));
        EXPECT_EQ(failure(*refused).code, error_code::stale_cursor);
        EXPECT_EQ(failure(*refused).ran, run_state::not_run);
    }
}

// The owner dies after it delivered three of four slots. Its successor has only the trainer's cursor and must
// not generate the delivered slots again.
TEST(job_state, of_a_new_owner_generates_only_the_slots_missing_from_the_cursor)
{
    job_state successor(small_job());
    auto position = begin_step(5);
    position.taken = {true, true, false, true};
    successor.on_pull(position, 6);
    ASSERT_EQ(successor.next_slot()->slot, (slot_key{5, 2}));
    fill(successor, 5, 6);
    const auto rest = successor.collect(position, 6, 8);
    ASSERT_EQ(rest.samples.size(), 1U);
    EXPECT_TRUE(rest.step_complete);
    EXPECT_FALSE(successor.next_slot().has_value());
}

TEST(job_state, discards_a_sample_whose_oldest_span_is_too_stale_at_the_pull)
{
    job_state job(small_job());
    job.on_pull(begin_step(0), 4);
    const auto stream = job.begin({0, 0}, "engine", start);
    job.on_chunk(stream.id, "old ", 2, 4, start);
    finish(job, stream, 4);
    EXPECT_EQ(job.collect(begin_step(0), 4, 8).samples.size(), 1U);
    job.on_pull(begin_step(0), 5);
    EXPECT_TRUE(job.collect(begin_step(0), 5, 8).samples.empty());
    EXPECT_EQ(job.counts().discarded_stale, 1);
    EXPECT_EQ(job.counts().wasted_tokens, 8);
}

TEST(job_state, cancels_a_stream_that_will_be_too_stale_and_counts_its_tokens)
{
    job_state job(small_job(1));
    job.on_pull(begin_step(0), 3);
    const auto stream = job.begin({1, 0}, "engine", start);
    job.on_chunk(stream.id, "text", 2, 6, start);
    EXPECT_TRUE(job.on_pull(begin_step(0), 3).empty());
    const auto ended = job.on_pull(begin_step(0), 4);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].id, stream.id);
    EXPECT_EQ(job.counts().wasted_tokens, 6);
    EXPECT_FALSE(job.on_chunk(stream.id, "late", 2, 6, start));
}

TEST(job_state, requires_weights_within_the_planned_staleness_for_later_steps)
{
    auto shape = small_job(2);
    shape.planned_staleness = 1;
    job_state job(shape);
    job.on_pull(begin_step(0), 7);
    EXPECT_EQ(job.next_slot()->min_version, 5U);
    fill(job, 0, 7);
    EXPECT_EQ(job.next_slot()->slot.step, 1);
    EXPECT_EQ(job.next_slot()->min_version, 7U);
    fill(job, 1, 7);
    EXPECT_EQ(job.next_slot()->min_version, 8U);
}

// The engine dies during a sample that spans a weight swap, and another engine resumes it with newer weights:
// the sample must list every version that produced a part of it.
TEST(job_state, keeps_the_version_spans_of_a_resumed_sample)
{
    job_state job(small_job());
    job.on_pull(begin_step(0), 3);
    const auto first = job.begin({0, 0}, "engine-1", start);
    job.on_chunk(first.id, "a ", 2, 4, start);
    job.on_chunk(first.id, "b ", 3, 4, start);
    job.on_failed(first.id, true);
    const auto second = job.begin({0, 0}, "engine-2", start);
    EXPECT_EQ(second.so_far.text, "a b ");
    EXPECT_EQ(second.resumed_tokens, 8);
    finish(job, second, 4);
    const auto taken = job.collect(begin_step(0), 3, 1);
    EXPECT_EQ(taken.samples.at(0).sample.spans.spans(), (std::vector<version_span>{{2, 4}, {3, 4}, {4, 4}}));
    EXPECT_EQ(job.counts().wasted_tokens, 0);
}

TEST(job_state, discards_the_content_of_an_invalid_stream)
{
    job_state job(small_job());
    job.on_pull(begin_step(0), 1);
    const auto stream = job.begin({0, 0}, "engine", start);
    job.on_chunk(stream.id, "a", 1, 4, start);
    job.on_failed(stream.id, false);
    EXPECT_EQ(job.begin({0, 0}, "engine", start).resumed_tokens, 0);
    EXPECT_EQ(job.counts().wasted_tokens, 4);
}

TEST(job_state, keeps_the_first_complete_stream_of_a_race)
{
    job_state job(small_job());
    job.on_pull(begin_step(0), 1);
    const auto slow = job.begin({0, 0}, "slow", start);
    job.on_chunk(slow.id, "a", 1, 4, start);
    const auto fast = job.race({0, 0}, "fast", start);
    ASSERT_TRUE(fast.has_value());
    EXPECT_FALSE(job.race({0, 0}, "third", start).has_value());
    job.on_chunk(slow.id, "b", 1, 3, start);
    job.on_chunk(fast->id, "c", 1, 4, start);
    std::vector<attempt> losers;
    ASSERT_TRUE(job.on_generated(fast->id, losers).has_value());
    ASSERT_EQ(losers.size(), 1U);
    EXPECT_EQ(losers[0].engine, "slow");
    EXPECT_EQ(job.counts().wasted_tokens, 3);
    EXPECT_FALSE(job.on_generated(slow.id, losers).has_value());
}

TEST(job_state, delivers_a_plain_job_only_in_full_steps)
{
    auto shape = small_job();
    shape.full_steps_only = true;
    job_state job(shape);
    job.on_pull(begin_step(0), 1);
    finish(job, job.begin({0, 0}, "engine", start), 1);
    EXPECT_TRUE(job.collect(begin_step(0), 1, 8).samples.empty());
    fill(job, 0, 1);
    EXPECT_EQ(job.collect(begin_step(0), 1, 8).samples.size(), 4U);
}

TEST(stream_validator, rejects_mismatched_repeated_and_unversioned_chunks)
{
    const chunk_info sound{"r", 0, 4, 1, false, 0};
    auto mismatched = sound;
    mismatched.request_id = "other";
    auto unversioned = sound;
    unversioned.version = 0;
    EXPECT_EQ(stream_validator("r").check(mismatched), chunk_verdict::mismatched);
    EXPECT_EQ(stream_validator("r").check(unversioned), chunk_verdict::unversioned);
    stream_validator repeated("r");
    EXPECT_EQ(repeated.check(sound), chunk_verdict::accepted);
    EXPECT_EQ(repeated.check(sound), chunk_verdict::mismatched);
    EXPECT_EQ(repeated.check({"r", 1, 4, 1, true, 8}), chunk_verdict::mismatched);
    EXPECT_FALSE(repeated.complete());
}

TEST(stream_validator, is_complete_only_with_all_tokens_counted_by_the_engine)
{
    stream_validator full("r");
    full.check({"r", 0, 4, 1, false, 0});
    full.check({"r", 1, 3, 1, true, 7});
    EXPECT_TRUE(full.complete());
    stream_validator cut("r");
    cut.check({"r", 0, 3, 1, true, 7});
    EXPECT_FALSE(cut.complete());
}

} // namespace
} // namespace vanillagauge::samples
