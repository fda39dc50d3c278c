#include "policy/weight_load_plan.hpp"

#include <gtest/gtest.h>

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
        for (const auto& next : plan_weight_loads(engines, newest)) {
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
        for (const auto& next : plan_weight_loads(engines, newest)) {
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
        for (const auto& next : plan_weight_loads(engines, newest, demand)) {
            for (auto& engine : engines) {
                if (engine.id == next.engine) {
                    engine.versions[next.model] = next.version;
                }
            }
        }
    }
    EXPECT_TRUE(plan_weight_loads(engines, newest, demand).empty()) << "the plan does not come to rest";
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
    EXPECT_TRUE(plan_weight_loads({}, {{"a", 2}}, {}).empty());
    EXPECT_TRUE(plan_weight_loads(make_engines(2, 1), {}, {{"a", 2}}).empty());
}

TEST(plan_weight_loads, bounds_concurrent_loads)
{
    const std::map<std::string, std::uint64_t> newest{{"m", 2}};
    EXPECT_EQ(plan_weight_loads(make_engines(9, 1), newest).size(), 2U);
    EXPECT_EQ(plan_weight_loads(make_engines(48, 1), newest).size(), 9U);
    auto engines = make_engines(9, 1);
    engines[0].loading = true;
    EXPECT_EQ(plan_weight_loads(engines, newest).size(), 1U);
}

TEST(plan_weight_loads, loads_engines_furthest_behind_first)
{
    auto engines = make_engines(3, 4);
    engines[1].versions["m"] = 2;
    const std::map<std::string, std::uint64_t> newest{{"m", 5}};
    EXPECT_EQ(plan_weight_loads(engines, newest).front(), (weight_load{"e1", "m", 5}));
}

TEST(plan_weight_loads, skips_engines_backing_off_or_up_to_date)
{
    auto engines = make_engines(2, 5);
    const std::map<std::string, std::uint64_t> newest{{"m", 5}};
    EXPECT_TRUE(plan_weight_loads(engines, newest).empty());
    engines[0].versions["m"] = 4;
    engines[0].backing_off = true;
    EXPECT_TRUE(plan_weight_loads(engines, newest).empty());
    EXPECT_TRUE(plan_weight_loads(engines, {}).empty());
}

} // namespace
} // namespace vanillagauge::policy
