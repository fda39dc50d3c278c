#include "gateway/batch_progress.hpp"

#include "gateway/batch_texts.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace vanillagauge::gateway {
namespace {

batch_header make_header()
{
    batch_header header;
    header.id = "b";
    header.min_version = 2;
    header.attempts = 3;
    return header;
}

std::vector<batch_item> make_items(std::size_t count)
{
    std::vector<batch_item> items(count);
    for (std::size_t index = 0; index < count; ++index) {
        items[index].id = "i" + std::to_string(index);
        items[index].group = "g" + std::to_string(index / 2);
    }
    return items;
}

net::stream_event make_event(std::uint64_t id, const std::string& data)
{
    net::stream_event event;
    event.id = id;
    event.data = data;
    return event;
}

void finish(batch_progress& progress, std::size_t index)
{
    progress.start(index);
    ASSERT_EQ(progress.begin_run(index, 2), run_rejection::none);
    ASSERT_EQ(progress.append_event(index, make_event(1, "text"), std::nullopt), run_rejection::none);
    progress.complete(index);
}

// Guards against publishing an item twice: another owner publishes it between the request and the response of
// a run here.
TEST(batch_progress, does_not_rerun_an_item_published_by_another_owner)
{
    batch_progress progress(make_header(), make_items(2));
    progress.start(0);
    progress.apply_segment({0, "other", {{"i0", item_state::completed, "theirs", {2}}}});
    EXPECT_EQ(progress.begin_run(0, 2), run_rejection::not_running);
    progress.complete(0);
    EXPECT_EQ(progress.unpublished_results(), 0U);
    EXPECT_EQ(progress.next_segment("me"), std::nullopt);
}

// A trainer must never read a completed item without its score.
TEST(batch_progress, publishes_a_scored_item_only_with_its_score)
{
    auto items = make_items(2);
    items[0].scoring = scoring_call{"s0", "h", "/score/0", ""};
    batch_progress progress(make_header(), std::move(items));
    finish(progress, 0);
    EXPECT_EQ(progress.items()[0].state, work_state::scoring);
    EXPECT_EQ(progress.unpublished_results(), 0U);
    EXPECT_EQ(progress.next_segment("me"), std::nullopt);
    EXPECT_EQ(progress.open_in_group(0), 2U);
    progress.set_score(0, "code");
    const auto segment = progress.next_segment("me");
    ASSERT_TRUE(segment);
    EXPECT_EQ(segment->results,
              (std::vector<item_result>{{"i0", item_state::completed, "text", {2}, "code"}}));
    progress.set_score(0, "another");
    EXPECT_EQ(progress.unpublished_results(), 1U);
}

// Another owner publishes an item with another score while this one waits for its own: the first one counts.
TEST(batch_progress, drops_a_score_after_another_owner_published)
{
    auto items = make_items(1);
    items[0].scoring = scoring_call{"s0", "h", "/score/0", ""};
    batch_progress progress(make_header(), std::move(items));
    finish(progress, 0);
    progress.apply_segment({0, "other", {{"i0", item_state::completed, "text", {2}, "theirs"}}});
    progress.set_score(0, "mine");
    EXPECT_EQ(progress.items()[0].state, work_state::published);
    EXPECT_EQ(progress.next_segment("me"), std::nullopt);
    EXPECT_TRUE(progress.all_published());
}

// The owner crashes with one text incomplete and another that lacks only its score. The next owner resumes
// the first and regenerates nothing of the second.
TEST(batch_progress, continues_saved_texts_of_an_earlier_owner)
{
    auto items = make_items(2);
    items[1].scoring = scoring_call{"s1", "h", "/score/1", ""};
    batch_progress progress(make_header(), std::move(items));
    progress.restore_text({"i0", "one\ntwo", 2, 2, {2}, false});
    progress.restore_text({"i1", "whole", 1, 1, {3}, true});
    EXPECT_EQ(progress.items()[0].state, work_state::waiting);
    EXPECT_EQ(progress.items()[0].last_event, 2U);
    EXPECT_EQ(progress.items()[1].state, work_state::scoring);
    progress.start(0);
    ASSERT_EQ(progress.begin_run(0, 3), run_rejection::none);
    ASSERT_EQ(progress.append_event(0, make_event(3, "three"), std::nullopt), run_rejection::none);
    progress.complete(0);
    progress.set_score(1, "code");
    const auto segment = progress.next_segment("me");
    ASSERT_TRUE(segment);
    const std::vector<item_result> expected{{"i0", item_state::completed, "one\ntwo\nthree", {2, 3}, ""},
                                            {"i1", item_state::completed, "whole", {3}, "code"}};
    EXPECT_EQ(segment->results, expected);
}

TEST(batch_progress, ignores_saved_texts_that_do_not_fit)
{
    auto header = make_header();
    header.single_version = true;
    batch_progress progress(header, make_items(3));
    progress.restore_text({"i0", "old", 1, 1, {1}, false});
    progress.restore_text({"i1", "mixed", 2, 2, {2, 3}, false});
    progress.restore_text({"elsewhere", "text", 1, 1, {2}, false});
    progress.apply_segment({0, "other", {{"i2", item_state::completed, "theirs", {2}, ""}}});
    progress.restore_text({"i2", "mine", 1, 1, {2}, true});
    EXPECT_EQ(progress.items()[0].events, 0U);
    EXPECT_EQ(progress.items()[1].events, 0U);
    EXPECT_EQ(progress.items()[2].state, work_state::published);
    EXPECT_EQ(progress.unpublished_results(), 0U);
}

TEST(batch_texts, are_read_back_as_saved)
{
    batch_progress progress(make_header(), make_items(2));
    for (std::size_t index = 0; index < 2; ++index) {
        progress.start(index);
        ASSERT_EQ(progress.begin_run(index, 2), run_rejection::none);
    }
    constexpr std::uint64_t events = 12;
    for (std::uint64_t number = 1; number <= events; ++number) {
        ASSERT_EQ(progress.append_event(1, make_event(number, "x"), std::nullopt), run_rejection::none);
    }
    ASSERT_EQ(progress.append_event(0, make_event(1, "x"), std::nullopt), run_rejection::none);
    const auto texts = texts_to_save(progress);
    ASSERT_EQ(texts.size(), 1U) << "a text of one event is not worth saving";
    EXPECT_EQ(texts[0].id, "i1");
    EXPECT_EQ(texts[0].last_event, events);
    EXPECT_EQ(value(texts_from_json(to_json(texts))), texts);
    EXPECT_FALSE(ok(texts_from_json({{"texts", 7}})));
    EXPECT_FALSE(ok(texts_from_json({{"texts", {{{"id", "i"}}}}})));
}

TEST(batch_json, keeps_scoring_calls_and_scores)
{
    batch_item item;
    item.id = "i0";
    item.scoring = scoring_call{"s0", "h", "/score/0", "dGV4dA=="};
    batch_item plain;
    plain.id = "i1";
    const auto parts = to_parts({item, plain}, 1000);
    ASSERT_EQ(parts.size(), 2U);
    EXPECT_EQ(value(items_from_json(parts[0]))[0].scoring, item.scoring);
    EXPECT_EQ(value(items_from_json(parts[1]))[0].scoring, std::nullopt);
    const result_segment segment{
        0, "me", {{"i0", item_state::completed, "text", {2}, "code"}, {"i1", {}, "", {}, ""}}};
    const auto read = segment_from_json(segment_name(0), to_json(segment));
    EXPECT_EQ(value(read).results, segment.results);
}

TEST(batch_progress, joins_the_events_of_resumed_runs)
{
    batch_progress progress(make_header(), make_items(1));
    progress.start(0);
    ASSERT_EQ(progress.begin_run(0, 2), run_rejection::none);
    ASSERT_EQ(progress.append_event(0, make_event(1, "one"), std::nullopt), run_rejection::none);
    progress.release(0, {}, "r1");
    EXPECT_EQ(progress.items()[0].last_event, 1U);
    progress.start(0);
    ASSERT_EQ(progress.begin_run(0, 3), run_rejection::none);
    ASSERT_EQ(progress.append_event(0, make_event(2, "two"), std::nullopt), run_rejection::none);
    progress.complete(0);
    const auto segment = progress.next_segment("me");
    ASSERT_TRUE(segment);
    EXPECT_EQ(segment->results[0].text, "one\ntwo");
    EXPECT_EQ(segment->results[0].versions, (std::vector<std::uint64_t>{2, 3}));
}

TEST(batch_progress, refuses_events_that_do_not_continue_the_text)
{
    batch_progress progress(make_header(), make_items(1));
    progress.start(0);
    ASSERT_EQ(progress.begin_run(0, 2), run_rejection::none);
    ASSERT_EQ(progress.append_event(0, make_event(1, "one"), std::nullopt), run_rejection::none);
    EXPECT_EQ(progress.append_event(0, make_event(3, "three"), std::nullopt), run_rejection::wrong_event);
    EXPECT_EQ(progress.append_event(0, make_event(1, "one"), std::nullopt), run_rejection::wrong_event);
}

TEST(batch_progress, refuses_weights_older_than_the_batch_allows)
{
    batch_progress progress(make_header(), make_items(1));
    progress.start(0);
    EXPECT_EQ(progress.begin_run(0, 1), run_rejection::old_weights);
    EXPECT_EQ(progress.begin_run(0, 0), run_rejection::old_weights);
}

TEST(batch_progress, publishes_a_single_version_where_required)
{
    auto header = make_header();
    header.single_version = true;
    batch_progress progress(header, make_items(1));
    progress.start(0);
    ASSERT_EQ(progress.begin_run(0, 2), run_rejection::none);
    ASSERT_EQ(progress.append_event(0, make_event(1, "one"), std::nullopt), run_rejection::none);
    EXPECT_EQ(progress.append_event(0, make_event(2, "two"), 3), run_rejection::mixed_weights);
    progress.discard_text(0);
    progress.release(0, {}, "r1");
    progress.start(0);
    ASSERT_EQ(progress.begin_run(0, 3), run_rejection::none);
    ASSERT_EQ(progress.append_event(0, make_event(1, "one"), std::nullopt), run_rejection::none);
    progress.complete(0);
    EXPECT_EQ(progress.next_segment("me")->results[0].versions, std::vector<std::uint64_t>{3});
}

TEST(batch_progress, terminates_an_item_after_the_routes_attempts)
{
    batch_progress progress(make_header(), make_items(1));
    EXPECT_FALSE(progress.fail_attempt(0));
    EXPECT_FALSE(progress.fail_attempt(0));
    EXPECT_TRUE(progress.fail_attempt(0));
    progress.terminate(0);
    EXPECT_EQ(progress.next_segment("me")->results[0].state, item_state::terminated);
}

// Guards against an item that asks full engines thousands of times a second.
TEST(batch_progress, delays_items_that_are_refused_again_and_again)
{
    batch_progress progress(make_header(), make_items(1));
    const time_point began{seconds(100)};
    auto now = began;
    int runs = 0;
    for (; now < began + seconds(5); now += milliseconds(1)) {
        const auto& entry = progress.items()[0];
        if (entry.state == work_state::waiting && entry.not_before <= now) {
            ++runs;
            progress.start(0);
            progress.refuse(0, now, "e1");
        }
    }
    EXPECT_LE(runs, 20);
    EXPECT_GE(runs, 5);
    progress.start(0);
    ASSERT_EQ(progress.begin_run(0, 2), run_rejection::none);
    progress.refuse(0, now, "e1");
    EXPECT_LE(progress.items()[0].not_before, now) << "a run that began ends the row of refusals";
}

TEST(batch_progress, starts_the_longest_items_first)
{
    auto items = make_items(3);
    items[1].length_hint = 50;
    items[2].length_hint = 100;
    const batch_progress progress(make_header(), items);
    EXPECT_EQ(progress.order(), (std::vector<std::size_t>{2, 1, 0}));
}

TEST(batch_progress, counts_complete_and_published_groups)
{
    batch_progress progress(make_header(), make_items(4));
    finish(progress, 0);
    EXPECT_EQ(progress.complete_groups(), 0U);
    finish(progress, 1);
    EXPECT_EQ(progress.complete_groups(), 1U);
    EXPECT_EQ(progress.published_groups(), 0U);
    const auto segment = progress.next_segment("a");
    ASSERT_TRUE(segment);
    progress.apply_segment(*segment);
    progress.apply_segment(*segment);
    EXPECT_EQ(progress.complete_groups(), 1U);
    EXPECT_EQ(progress.published_groups(), 1U);
    EXPECT_EQ(progress.results(), segment->results);
}

/// The store of segments: each name can be created only once.
struct fake_results {
    std::map<std::size_t, result_segment> segments;

    bool create(const result_segment& segment) { return segments.emplace(segment.first, segment).second; }
};

// Two owners run one batch. Their writes succeed, time out after taking effect, or take effect later. In any
// order, a position never changes and no item is published at two.
RC_GTEST_PROP(batch_progress, publishes_every_item_once_with_two_owners, ())
{
    constexpr std::size_t count = 6;
    fake_results stored;
    std::vector<batch_progress> owners;
    owners.emplace_back(make_header(), make_items(count));
    owners.emplace_back(make_header(), make_items(count));
    std::vector<result_segment> late;
    const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
    for (const auto step : steps) {
        auto& owner = owners[static_cast<std::size_t>(step % 2)];
        const auto index = static_cast<std::size_t>(step / 2) % count;
        switch (step / 20 % 6) {
        case 0:
        case 1:
            owner.start(index);
            if (owner.begin_run(index, 2) == run_rejection::none) {
                owner.complete(index);
            }
            break;
        case 2:
        case 3:
            if (const auto segment = owner.next_segment("w")) {
                if (stored.create(*segment)) {
                    owner.apply_segment(*segment);
                }
                else {
                    owner.apply_segment(stored.segments.at(segment->first));
                }
                owner.finish_write();
            }
            break;
        case 4: // times out; takes effect later or never
            if (const auto segment = owner.next_segment("w")) {
                late.push_back(*segment);
                owner.finish_write();
            }
            break;
        default:
            if (!late.empty()) {
                stored.create(late.back());
                late.pop_back();
            }
            break;
        }
    }
    std::set<std::string> seen;
    std::size_t next = 0;
    for (const auto& [first, segment] : stored.segments) {
        RC_ASSERT(first == next);
        next += segment.results.size();
        for (const auto& entry : segment.results) {
            RC_ASSERT(seen.insert(entry.id).second);
        }
    }
}

} // namespace
} // namespace vanillagauge::gateway
