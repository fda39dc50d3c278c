#include "simulation.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

constexpr milliseconds in_time{150};
using change_of_day = std::function<void(simulation&)>;

/// A day of four uneven replicas of six slots, the slowest one near, whose VMs are busy in turn for 0.6
/// of 3.2 s; one organisation sends most requests. By expected finish, or by the rule for replicas without a
/// slowdown.
simulation play(
    bool by_finish, double rate, double busy, const change_of_day& change = [](simulation&) {})
{
    constexpr milliseconds day{45000};
    std::vector<simulated_target> targets{{"a", "near"}, {"b", "b"}, {"c", "c"}, {"d", "d"}};
    for (auto& target : targets) {
        target.workers = 6;
        target.slowness = 1.7 - (target.id[0] - 'a') / 3.0;
        target.reports = true;
        target.reports_slowdown = by_finish;
    }
    simulation run(targets, pool_options{.initial_limit = 6}, 3);
    for (milliseconds when{0}; when < day; when += milliseconds{800}) {
        const auto& id = targets[static_cast<std::size_t>(when.count() / 800 % 4)].id;
        run.at(when, [&run, id, busy] { run.target(id).busy = busy; });
        run.at(when + milliseconds{600}, [&run, id] { run.target(id).busy = 1; });
    }
    run.load(rate, day, [&run] {
        const auto number = run.random()() % 100;
        const auto caller = number < 60 ? "large" : "small-" + std::to_string(number % 10);
        return simulated_request{caller, priority::member, milliseconds{25}, milliseconds{1500}, true};
    });
    change(run);
    run.run();
    const auto all = run.total();
    std::cout << rate << "/s, busy " << busy << (by_finish ? ", now: " : ", before: ")
              << all.share_within(in_time) << " in time, p99 " << all.quantile(0.99) / milliseconds{1}
              << " ms, refused " << all.refused << ", late " << all.late << " of " << all.requests << "\n";
    return run;
}

// Guards against requests that go to a busy or a permanently slow VM while others are idle.
TEST(uneven_replicas, are_in_time_by_expected_finish)
{
    for (const double rate : {12.0, 60.0}) {
        const auto now = play(true, rate, 4).total();
        EXPECT_GE(now.share_within(in_time), 0.99);
        EXPECT_GT(now.share_within(in_time), play(false, rate, 4).total().share_within(in_time) + 0.05);
        EXPECT_LT(now.quantile(0.99), in_time);
        EXPECT_EQ(now.refused, 0);
    }
}

// Guards against reports that attract or repel requests though they are late, or wrong by a constant factor.
TEST(uneven_replicas, late_or_wrong_reports_do_little_harm)
{
    const auto before = play(false, 60, 8).total().share_within(in_time);
    for (const change_of_day& change : {
             change_of_day([](simulation& run) { run.target("d").wrong_slowdown = 100; }),
             change_of_day([](simulation& run) { run.target("a").wrong_slowdown = 0.01; }),
             change_of_day([](simulation& run) { run.target("d").report_age = seconds{2}; }),
         }) {
        EXPECT_GT(play(true, 60, 8, change).total().share_within(in_time), before + 0.02);
    }
}

// Guards against late answers and a starved small organisation when capacity is a fifth too small.
TEST(too_little_capacity, requests_are_refused_rather_than_late)
{
    auto now = play(true, 1100, 1);
    EXPECT_EQ(now.total().late, 0);
    EXPECT_LT(now.total().quantile(0.99), milliseconds{250});
    for (int number = 0; number < 10; ++number) {
        const auto& small = now.outcome_of("small-" + std::to_string(number));
        EXPECT_GT(small.success_share(), now.total().success_share() - 0.05);
    }
}

// Guards against callers that return together to a service that was away, and are refused together.
TEST(returning_service, serves_callers_that_waited)
{
    const auto now = play(true, 120, 1, [](simulation& run) {
        run.at(milliseconds{10000}, [&run] { run.update_targets(false); });
        run.at(milliseconds{10400}, [&run] { run.update_targets(true); });
    });
    EXPECT_GT(now.total().success_share(), 0.995); // 50 requests arrive meanwhile
}

} // namespace
} // namespace vanillagauge::policy
