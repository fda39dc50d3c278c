#include "policy/weight_load_plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <set>

namespace vanillagauge::policy {
namespace {

std::vector<model_engine> make_engines(std::size_t count, std::uint64_t version)
{
    std::vector<model_engine> engines(count);
    for (std::size_t index = 0; index < count; ++index) {
        engines[index].id = "e" + std::to_string(index);
        engines[index].versions = {{"m", version}, {"n", version}};
    }
    return engines;
}

// Guards against a trainer that stalls because no engine loads its model in time: two models on nine engines,
// a version of each every four seconds, and two loads of a second at a time.
TEST(plan_weight_loads, keeps_all_models_fresh_on_shared_engines)
{
    auto engines = make_engines(9, 1);
    std::map<std::string, std::uint64_t> newest{{"m", 1}, {"n", 1}};
    int loads = 0;
    for (int second = 0; second < 40; ++second) {
        if (second % 4 == 0) {
            ++newest["m"];
            ++newest["n"];
        }
        for (const auto& next : plan_weight_loads(engines, newest).loads) {
            for (auto& engine : engines) {
                if (engine.id == next.engine) {
                    engine.versions[next.model] = next.version;
                    ++loads;
                }
            }
        }
        for (const auto& [model, version] : newest) {
            const auto fresh =
                std::count_if(engines.begin(), engines.end(),
                              [&, wanted = version, &name = model](const model_engine& engine) {
                                  return engine.versions.at(name) + 1 >= wanted;
                              });
            EXPECT_GE(fresh, 4) << model << " at second " << second;
        }
    }
    // One load for each engine and announcement, not one for each model: nine for each of ten.
    EXPECT_LE(loads, 90);
}

// Guards against trainers that starve for their model's place in the order: eight models, seven engines, each
// model announces a version every four seconds and allows the one before.
TEST(plan_weight_loads, serves_more_models_than_engines)
{
    auto engines = make_engines(7, 1);
    std::map<std::string, std::uint64_t> newest;
    for (char name = 'a'; name < 'i'; ++name) {
        newest[std::string(1, name)] = 1;
    }
    for (auto& engine : engines) {
        engine.versions = newest;
    }
    int loads = 0;
    constexpr int announcements = 10;
    for (int second = 0; second < 4 * announcements; ++second) {
        if (second % 4 == 0) {
            for (auto& [model, version] : newest) {
                ++version;
            }
        }
        std::set<std::string> loading;
        for (const auto& next : plan_weight_loads(engines, newest).loads) {
            EXPECT_TRUE(loading.insert(next.engine).second) << "two loads at once at " << next.engine;
            for (auto& engine : engines) {
                if (engine.id == next.engine) {
                    engine.versions[next.model] = next.version;
                    ++loads;
                }
            }
        }
        for (const auto& [model, version] : newest) {
            const bool served = std::any_of(
                engines.begin(), engines.end(), [&, wanted = version, &name = model](const auto& engine) {
                    const auto found = engine.versions.find(name);
                    return found != engine.versions.end() && found->second + 1 >= wanted;
                });
            EXPECT_TRUE(served) << model << " at second " << second;
        }
    }
    EXPECT_LE(loads, 8 * announcements);
}

/// Engines at the newest version of each model after enough rounds of loads.
std::map<std::string, int> followers(std::vector<model_engine> engines,
                                     const std::map<std::string, std::uint64_t>& newest,
                                     const std::map<std::string, double>& demand)
{
    for (std::size_t round = 0; round < 2 * engines.size(); ++round) {
        for (const auto& next : plan_weight_loads(engines, newest, demand).loads) {
            for (auto& engine : engines) {
                if (engine.id == next.engine) {
                    engine.versions[next.model] = next.version;
                }
            }
        }
    }
    EXPECT_TRUE(plan_weight_loads(engines, newest, demand).loads.empty()) << "the plan does not come to rest";
    std::map<std::string, int> counts;
    for (const auto& [model, version] : newest) {
        counts[model] = static_cast<int>(std::count_if(
            engines.begin(), engines.end(), [&, wanted = version, &name = model](const model_engine& engine) {
                const auto found = engine.versions.find(name);
                return found != engine.versions.end() && found->second == wanted;
            }));
    }
    return counts;
}

// Guards against trainers of large steps that are late while the engines of small ones are idle.
TEST(plan_weight_loads, gives_engines_by_demand)
{
    const auto counts = followers(make_engines(36, 1), {{"a", 2}, {"b", 2}, {"c", 2}, {"d", 2}},
                                  {{"a", 576}, {"b", 2240}, {"c", 2240}, {"d", 1120}});
    EXPECT_NEAR(counts.at("a"), 3, 1);
    EXPECT_NEAR(counts.at("b"), 13, 1);
    EXPECT_NEAR(counts.at("c"), 13, 1);
    EXPECT_NEAR(counts.at("d"), 6, 1);
}

TEST(plan_weight_loads, lets_small_models_share_an_engine)
{
    const auto counts = followers(make_engines(3, 1), {{"a", 2}, {"b", 2}, {"c", 2}, {"d", 2}},
                                  {{"a", 1000}, {"b", 1000}, {"c", 100}, {"d", 100}});
    for (const auto& [model, count] : counts) {
        EXPECT_EQ(count, 1) << model;
    }
}

TEST(plan_weight_loads, treats_models_without_known_demand_as_average)
{
    const auto counts = followers(make_engines(9, 1), {{"a", 2}, {"b", 2}, {"c", 2}}, {{"a", 300}});
    EXPECT_EQ(counts.at("a"), 3);
    EXPECT_EQ(counts.at("b"), 3);
    EXPECT_EQ(counts.at("c"), 3);
    EXPECT_TRUE(plan_weight_loads({}, {{"a", 2}}, {}).loads.empty());
    EXPECT_TRUE(plan_weight_loads(make_engines(2, 1), {}, {{"a", 2}}).loads.empty());
}

TEST(plan_weight_loads, bounds_concurrent_loads)
{
    const std::map<std::string, std::uint64_t> newest{{"m", 2}};
    EXPECT_EQ(plan_weight_loads(make_engines(9, 1), newest).loads.size(), 2U);
    EXPECT_EQ(plan_weight_loads(make_engines(48, 1), newest).loads.size(), 9U);
    auto engines = make_engines(9, 1);
    engines[0].loading = true;
    EXPECT_EQ(plan_weight_loads(engines, newest).loads.size(), 1U);
}

TEST(plan_weight_loads, loads_engines_furthest_behind_first)
{
    auto engines = make_engines(3, 4);
    engines[1].versions["m"] = 2;
    const std::map<std::string, std::uint64_t> newest{{"m", 5}};
    EXPECT_EQ(plan_weight_loads(engines, newest).loads.front(), (weight_load{"e1", "m", 5}));
}

TEST(plan_weight_loads, skips_engines_backing_off_or_up_to_date)
{
    auto engines = make_engines(2, 5);
    const std::map<std::string, std::uint64_t> newest{{"m", 5}};
    EXPECT_TRUE(plan_weight_loads(engines, newest).loads.empty());
    engines[0].versions["m"] = 4;
    engines[0].backing_off = true;
    EXPECT_TRUE(plan_weight_loads(engines, newest).loads.empty());
    EXPECT_TRUE(plan_weight_loads(engines, {}).loads.empty());
}

/// Engines of one model with runs on them; each engine has more events left than the one before.
std::vector<model_engine> busy_engines(std::size_t count, std::uint64_t version)
{
    auto engines = make_engines(count, version);
    for (std::size_t index = 0; index < count; ++index) {
        engines[index].in_flight = 8;
        engines[index].events_left = 10.0 * static_cast<double>(index + 1);
    }
    return engines;
}

std::vector<weight_load> loads_of(const std::vector<std::string>& engines)
{
    std::vector<weight_load> loads;
    loads.reserve(engines.size());
    for (const auto& engine : engines) {
        loads.push_back({engine, "m", 5});
    }
    return loads;
}

// Guards against loads that pause each long run once or twice: each engine loads every second version only,
// while half of the engines always reach the newest and none falls two versions behind for good.
TEST(plan_weight_loads, loads_busy_engines_every_second_version)
{
    auto engines = busy_engines(9, 1);
    int loads = 0;
    constexpr std::uint64_t versions = 8;
    for (std::uint64_t version = 2; version < 2 + versions; ++version) {
        for (int second = 0; second < 4; ++second) {
            for (const auto& next : plan_weight_loads(engines, {{"m", version}}).loads) {
                auto& engine = *std::find_if(engines.begin(), engines.end(),
                                             [&](const auto& known) { return known.id == next.engine; });
                engine.versions[next.model] = next.version;
                ++loads;
            }
        }
        const auto plan = plan_weight_loads(engines, {{"m", version}});
        EXPECT_TRUE(plan.loads.empty());
        EXPECT_EQ(plan.deferred.at("m"), 4U);
        for (const auto& engine : engines) {
            EXPECT_GE(engine.versions.at("m") + 1, version) << engine.id;
        }
    }
    EXPECT_EQ(loads, 5 * versions);
}

// Guards against loads where they hold up most: on engines with much work, or with a run that does not end
// before the next version comes.
TEST(plan_weight_loads, prefers_engines_with_little_work_left)
{
    auto engines = busy_engines(9, 4);
    engines[8].versions["m"] = 3;
    EXPECT_EQ(plan_weight_loads(engines, {{"m", 5}}).loads, loads_of({"e8", "e0"}));
    std::map<std::string, model_schedule> schedules{{"m", {seconds(5), seconds(2)}}};
    engines[0].longest_run_left = milliseconds(2500);
    engines[1].longest_run_left = milliseconds(1900);
    EXPECT_EQ(plan_weight_loads(engines, {{"m", 5}}, {}, schedules).loads, loads_of({"e8", "e1"}));
    schedules["m"].finish_first = true;
    EXPECT_EQ(plan_weight_loads(engines, {{"m", 5}}, {}, schedules).loads, loads_of({"e8", "e2"}));
}

// Guards against a trainer that is behind and waits for the engines of one that is ahead, and against a model
// without any server that waits for the whole turn of another.
TEST(plan_weight_loads, serves_models_by_slack)
{
    const auto engines = busy_engines(8, 2);
    const std::map<std::string, model_schedule> schedules{{"m", {seconds(3), {}}}, {"n", {seconds(-1), {}}}};
    for (const auto& load : plan_weight_loads(engines, {{"m", 3}, {"n", 3}}, {}, schedules).loads) {
        EXPECT_EQ(load.model, "n");
    }
    const auto unserved = plan_weight_loads(engines, {{"m", 4}, {"n", 4}}, {}, schedules).loads;
    ASSERT_EQ(unserved.size(), 2U);
    EXPECT_NE(unserved[0].model, unserved[1].model);
}

// Guards against loads at all engines that serve a model's newest step at once, against waiting for another
// engine where there is none, and against an unknown version that passes for the one before.
TEST(plan_weight_loads, leaves_a_server_to_each_model)
{
    auto engines = make_engines(2, 4);
    EXPECT_EQ(plan_weight_loads(engines, {{"m", 5}}).loads.size(), 1U);
    engines[0].loading = true;
    EXPECT_TRUE(plan_weight_loads(engines, {{"m", 5}}).loads.empty());
    EXPECT_EQ(plan_weight_loads(make_engines(1, 4), {{"m", 5}}).loads.size(), 1U);
    EXPECT_EQ(plan_weight_loads(make_engines(2, 0), {{"m", 1}}).loads.size(), 2U);
    // An idle engine does not load when the next step is near: it would refuse that step's items.
    engines = make_engines(4, 5);
    engines[0].versions["m"] = 4;
    EXPECT_EQ(plan_weight_loads(engines, {{"m", 5}}).loads.size(), 1U);
    const std::map<std::string, model_schedule> soon{{"m", {seconds(5), seconds(1)}}};
    EXPECT_TRUE(plan_weight_loads(engines, {{"m", 5}}, {}, soon).loads.empty());
}

// Guards against a plan that is never made, and stops all other work, where work of others is out of range.
TEST(plan_weight_loads, ends_whatever_work_the_models_ask_for)
{
    std::map<std::string, std::uint64_t> newest;
    for (char name = 'a'; name < 'g'; ++name) {
        newest[std::string(1, name)] = 2;
    }
    using limits = std::numeric_limits<double>;
    const std::vector<double> works{limits::infinity(), limits::max(), 1e12, 1, limits::denorm_min()};
    for (const double large : works) {
        for (const double small : works) {
            const std::map<std::string, double> demand{
                {"a", large}, {"b", large}, {"c", small}, {"d", small}};
            for (std::size_t count = 1; count < 9; ++count) {
                const auto plan = plan_weight_loads(make_engines(count, 0), newest, demand);
                EXPECT_EQ(plan.loads.size(), std::min(count, max_concurrent_loads(count)));
            }
        }
    }
}

} // namespace
} // namespace vanillagauge::policy
