#include "policy/batch_order.hpp"
#include "policy/trainer_slack.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

namespace vanillagauge::policy {
namespace {

constexpr milliseconds result_time{7500};

wall_time at(double in_seconds)
{
    return wall_time{milliseconds{static_cast<std::int64_t>(in_seconds * 1000)}};
}

trainer_batch step_at(std::uint64_t step, double accepted, bool ended = false)
{
    return {"m", step, at(accepted), at(accepted) + result_time, ended};
}

TEST(trainer_slack, counts_from_the_own_schedule)
{
    trainer_slack trainers;
    EXPECT_FALSE(trainers.slack("m", at(100)));
    trainers.observe(step_at(3, 100));
    EXPECT_EQ(trainers.slack("m", at(101)), milliseconds(6500));
    EXPECT_FALSE(trainers.interval("m"));
    // Out of their order, as a new gateway reads them from the store; step 5 came 2 s late.
    trainers.observe(step_at(5, 110));
    trainers.observe(step_at(4, 104));
    trainers.observe(step_at(2, 96, true));
    trainers.observe(step_at(3, 100, true));
    trainers.observe(step_at(3, 100)); // an old copy of the header
    EXPECT_EQ(trainers.interval("m"), seconds(4));
    EXPECT_EQ(trainers.behind("m"), seconds(2));
    EXPECT_EQ(trainers.slack("m", at(110)), milliseconds(-500)) << "step 4 is due at 111.5, 2 s behind";
    EXPECT_EQ(trainers.next_version_in("m", at(111)), seconds(3));
    EXPECT_EQ(trainers.next_version_in("m", at(120)), seconds(0));
}

// Guards against an interval from two submissions in short sequence, as after a late step, and from steps
// that were submitted together at the start: all later steps would count as late.
TEST(trainer_slack, does_not_take_catching_up_for_its_pace)
{
    trainer_slack trainers;
    for (const auto& [step, accepted] :
         {std::pair{1, 0.0}, {2, 0.1}, {3, 8.1}, {4, 12.1}, {5, 17.3}, {6, 20.2}}) {
        trainers.observe(step_at(static_cast<std::uint64_t>(step), accepted));
    }
    EXPECT_EQ(trainers.interval("m"), milliseconds(4050));
}

// Guards against trainers that have failed, finished or started again and stay before all others.
TEST(trainer_slack, forgets_trainers_that_are_gone)
{
    trainer_slack trainers;
    trainers.observe(step_at(7, 100));
    EXPECT_EQ(trainers.slack("m", at(120)), milliseconds(-12500));
    EXPECT_EQ(trainers.slack("m", at(170)), result_time);
    trainers.observe(step_at(0, 200));
    trainers.observe(step_at(1, 204));
    trainers.observe(step_at(7, 100)); // read again from the store
    EXPECT_EQ(trainers.behind("m"), seconds(0));
    EXPECT_EQ(trainers.slack("m", at(204)), milliseconds(3500));
}

// Guards against a batch that never starts, and against a newer step that delays the older one.
TEST(batch_order, goes_by_slack_and_starves_none)
{
    const auto batch = [](const char* model, std::uint64_t step, std::optional<duration> slack, seconds age,
                          bool started) {
        return queued_batch{model, step, slack, age, result_time, started};
    };
    std::vector<queued_batch> batches{
        batch("a", 5, seconds(6), seconds(1), true), batch("b", 9, seconds(-1), seconds(0), false),
        batch("b", 8, seconds(-1), seconds(0), false), batch("c", 1, std::nullopt, seconds(4), true)};
    EXPECT_EQ(batch_order(batches), (std::vector<std::size_t>{2, 1, 3, 0}));
    batches[0] = batch("a", 5, seconds(6), seconds(2), false);
    EXPECT_EQ(batch_order(batches).front(), 0U);
}

using order_rule = std::vector<std::size_t> (*)(const std::vector<queued_batch>&);

// The previous order.
std::vector<std::size_t> earliest_due_first(const std::vector<queued_batch>& batches)
{
    std::vector<std::size_t> order(batches.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return batches[a].age > batches[b].age; });
    return order;
}

/// How far the trainers are behind their schedules after eleven steps of 4 s each, in milliseconds. Trainer
/// "a" has no engines for 4 s. A step's streams generate at most `rate` events in a tick.
std::map<std::string, std::int64_t> ms_behind(order_rule rule, milliseconds outage)
{
    constexpr int engine_rate = 220; // a tenth more than both trainers need
    constexpr milliseconds tick{100};
    constexpr milliseconds interval{4000};
    constexpr std::size_t steps = 11;
    struct work {
        int left = 0;
        int rate = 0;
        trainer_batch header{};
    };
    const std::map<std::string, work> works{{"a", {5600, 80}}, {"b", {2400, 40}}};
    trainer_slack trainers;
    std::vector<work> open;
    std::map<std::string, std::vector<milliseconds>> ends;
    std::map<std::string, std::vector<milliseconds>> accepted;
    for (milliseconds now{0}; now < interval * (steps + 5); now += tick) {
        const wall_time wall{now};
        for (const auto& [model, wanted] : works) {
            const auto step = accepted[model].size();
            const bool trained = step < 2 || (ends[model].size() + 2 > step &&
                                              ends[model][step - 2] + milliseconds(500) <= now);
            if (step < steps && trained && now >= interval * step) {
                accepted[model].push_back(now);
                open.push_back(wanted);
                open.back().header = {model, step, wall, wall + result_time};
                trainers.observe(open.back().header);
            }
        }
        std::vector<queued_batch> queued;
        queued.reserve(open.size());
        for (const auto& [left, rate, header] : open) {
            queued.push_back({header.model, header.step, trainers.slack(header.model, wall),
                              wall - header.accepted, result_time, true});
        }
        int room = engine_rate;
        for (const auto index : rule(queued)) {
            auto& [left, rate, header] = open[index];
            const bool lost = header.model == "a" && now >= outage && now < outage + seconds(4);
            const auto generated = lost ? 0 : std::min({room, rate, left});
            left -= generated;
            room -= generated;
        }
        std::erase_if(open, [&](work& step) {
            if (step.left == 0) {
                step.header.ended = true;
                trainers.observe(step.header);
                ends[step.header.model].push_back(now);
            }
            return step.left == 0;
        });
    }
    std::map<std::string, std::int64_t> behind;
    for (const auto& [model, times] : accepted) {
        behind[model] = (times.back() - interval * static_cast<std::int64_t>(times.size() - 1)).count();
    }
    return behind;
}

// Guards against a trainer that has lost time and never makes it up, since the steps of one that is ahead
// take the engines. No trainer may end more than 1.5 s behind after the first of these losses.
TEST(batch_order, lets_a_trainer_that_is_behind_catch_up)
{
    for (const auto outage : {seconds(4), seconds(8), seconds(12), seconds(16), seconds(20)}) {
        auto before = ms_behind(earliest_due_first, outage);
        auto by_slack = ms_behind(batch_order, outage);
        EXPECT_LT(by_slack["a"], before["a"]) << outage.count();
        EXPECT_LE(by_slack["b"], before["b"] + 200) << outage.count();
    }
    EXPECT_GT(ms_behind(earliest_due_first, seconds(4))["a"], 1500);
    EXPECT_LE(ms_behind(batch_order, seconds(4))["a"], 1500);
}

} // namespace
} // namespace vanillagauge::policy
