#include "simulation.hpp"

#include <gtest/gtest.h>

namespace vanillagauge::policy {
namespace {

using report_kind = simulated_target::report_kind;

constexpr milliseconds in_time{150};
constexpr milliseconds day{45000};

/// Four replicas of six slots, one in each failure domain; the near one is the slowest.
std::vector<simulated_target> uneven_replicas(report_kind reports)
{
    std::vector<simulated_target> targets{{"a", "near"}, {"b", "b"}, {"c", "c"}, {"d", "d"}};
    const std::array<double, 4> speeds{1.7, 1.3, 1.0, 0.7};
    for (std::size_t index = 0; index < targets.size(); ++index) {
        targets[index].workers = 6;
        targets[index].slowness = speeds[index];
        targets[index].reports = reports;
    }
    return targets;
}

struct day_load {
    double rate = 60;
    double busy = 4; ///< slowdown of a VM while it is busy
    std::function<void(simulation&)> change = [](simulation&) {};
};

/// A day of requests, most of one organisation, while the VMs are busy in turn, each for 0.6 of 3.2 s.
simulation play(report_kind reports, const day_load& load)
{
    constexpr milliseconds turn{800};
    simulation run(uneven_replicas(reports), pool_options{.initial_limit = 6}, 3);
    for (milliseconds when{0}; when < day; when += turn) {
        const std::string id(1, static_cast<char>('a' + when / turn % 4));
        run.at(when, [&run, id, busy = load.busy] { run.target(id).busy = busy; });
        run.at(when + milliseconds{600}, [&run, id] { run.target(id).busy = 1; });
    }
    run.load(load.rate, day, [&run] {
        const auto number = run.random()() % 100;
        const auto caller = number < 60 ? "large" : "small-" + std::to_string(number % 10);
        return simulated_request{caller, priority::member, milliseconds{25}, milliseconds{1500}, true};
    });
    load.change(run);
    run.run();
    return run;
}

double smallest_share(simulation& run)
{
    double smallest = 1;
    for (int number = 0; number < 10; ++number) {
        smallest = std::min(
            smallest, run.outcome_of("small-" + std::to_string(number)).share_within(milliseconds{1500}));
    }
    return smallest;
}

std::string describe(simulation& run)
{
    const auto seen = run.total();
    return std::to_string(seen.share_within(in_time)) + " within 150 ms, p99 " +
           std::to_string(std::chrono::duration_cast<milliseconds>(seen.quantile(0.99)).count()) + " ms, " +
           std::to_string(seen.refused) + " refused and " + std::to_string(seen.late) + " late of " +
           std::to_string(seen.requests) + ", " + std::to_string(seen.returned) +
           " returned, smallest organisation " + std::to_string(smallest_share(run));
}

/// Plays the day by today's rule and by expected finish, and prints both.
std::pair<simulation, simulation> compare(const day_load& load)
{
    auto before = play(report_kind::without_slowdown, load);
    auto now = play(report_kind::with_slowdown, load);
    std::cout << load.rate << "/s, busy " << load.busy << "\n  before: " << describe(before)
              << "\n  now:    " << describe(now) << "\n";
    return {std::move(before), std::move(now)};
}

// Guards against requests that go to a busy or a permanently slow VM while others are idle.
TEST(uneven_replicas, are_in_time_by_expected_finish)
{
    for (const double rate : {12.0, 60.0}) {
        const auto [before, now] = compare({.rate = rate});
        EXPECT_GE(now.total().share_within(in_time), 0.99) << rate;
        EXPECT_GT(now.total().share_within(in_time), before.total().share_within(in_time) + 0.05) << rate;
        EXPECT_LT(now.total().quantile(0.99), in_time) << rate;
        EXPECT_EQ(now.total().refused, 0) << rate;
    }
    // One request for each moment meets the busy VM before any report: 8 x 25 ms are late in any case.
    const auto [before, now] = compare({.busy = 8});
    EXPECT_GT(now.total().share_within(in_time), 0.975);
    EXPECT_GT(now.total().share_within(in_time), before.total().share_within(in_time) + 0.04);
}

// Guards against reports that attract or repel all requests though they are late, or wrong by a constant
// factor.
TEST(uneven_replicas, late_or_wrong_reports_do_little_harm)
{
    const auto wrong = [](const char* id, double slowdown) {
        return [id, slowdown](simulation& run) { run.target(id).wrong_slowdown = slowdown; };
    };
    const auto late = [](simulation& run) {
        for (const char* id : {"a", "b", "c", "d"}) {
            run.target(id).report_age = seconds{2};
        }
    };
    for (const auto& change :
         std::vector<std::function<void(simulation&)>>{wrong("d", 100), wrong("a", 0.01), late}) {
        const auto [before, now] = compare({.change = change});
        EXPECT_GT(now.total().share_within(in_time), before.total().share_within(in_time));
        EXPECT_GE(now.total().share_within(in_time), 0.97);
        EXPECT_EQ(now.total().refused, 0);
    }
}

// Guards against late answers and a starved small organisation when capacity is a fifth too small.
TEST(too_little_capacity, requests_are_refused_rather_than_late)
{
    auto [before, now] = compare({.rate = 1100, .busy = 1});
    const auto mean = now.total().share_within(milliseconds{1500});
    EXPECT_EQ(now.total().late, 0);
    EXPECT_LT(now.total().quantile(0.99), milliseconds{250});
    EXPECT_GT(smallest_share(now), mean - 0.05);
    EXPECT_GE(mean, before.total().share_within(milliseconds{1500}) - 0.01);
}

// Guards against callers that return together to a service that was away, and are refused together.
TEST(returning_service, serves_callers_that_waited)
{
    const auto change = [](simulation& run) {
        for (const auto& [when, gone] : {std::pair{10000, true}, std::pair{10400, false}}) {
            run.at(milliseconds{when}, [&run, gone] {
                for (const char* id : {"a", "b", "c", "d"}) {
                    run.target(id).gone = gone;
                }
                run.update_targets();
            });
        }
    };
    auto [before, now] = compare({.rate = 120, .busy = 1, .change = change});
    EXPECT_GT(now.total().returned, 30);
    EXPECT_GT(now.total().success_share(), 0.995);
}

} // namespace
} // namespace vanillagauge::policy
