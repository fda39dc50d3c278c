#include "policy/policy.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace vanillagauge::policy {
namespace {

constexpr time_point start{};

std::vector<wave_engine> engines_at(std::size_t count, std::uint64_t version, bool fetch_granted = true)
{
    std::vector<wave_engine> engines;
    for (std::size_t index = 0; index < count; ++index) {
        wave_engine engine;
        engine.id = std::to_string(index);
        engine.version = version;
        engine.in_flight = static_cast<int>(count - index);
        engine.fetch_granted = fetch_granted;
        engines.push_back(engine);
    }
    return engines;
}

TEST(wave_plan, requests_fetches_before_load_orders)
{
    const auto actions = plan_wave(engines_at(8, 1, false), 2, wave_strategy::staleness, start);
    EXPECT_EQ(actions.fetch.size(), 8U);
    EXPECT_TRUE(actions.order.empty());
}

TEST(wave_plan, strategy_bounds_concurrent_loads)
{
    EXPECT_EQ(plan_wave(engines_at(8, 1), 2, wave_strategy::staleness, start).order.size(), 4U);
    const auto idle = plan_wave(engines_at(8, 1), 2, wave_strategy::idle, start);
    EXPECT_EQ(idle.order, std::vector<std::string>{"7"});
}

TEST(wave_plan, counts_pending_orders)
{
    auto engines = engines_at(8, 1);
    engines[0].order_pending = true;
    engines[1].order_pending = true;
    EXPECT_EQ(plan_wave(engines, 2, wave_strategy::staleness, start).order.size(), 2U);
}

TEST(wave_plan, skips_leaving_engines)
{
    auto engines = engines_at(2, 1);
    engines[0].leaving = true;
    const auto actions = plan_wave(engines, 2, wave_strategy::staleness, start);
    EXPECT_EQ(actions.order, std::vector<std::string>{"1"});
    EXPECT_TRUE(plan_wave({engines[0]}, 2, wave_strategy::staleness, start).order.empty());
}

// Guards against failed loads that are never retried, or are retried without a delay and block the healthy
// engines of the wave.
TEST(wave_plan, retries_failed_loads_with_backoff)
{
    auto engines = engines_at(2, 1);
    engines[0].failures = 1;
    engines[0].failed_at = start;
    EXPECT_EQ(plan_wave(engines, 2, wave_strategy::staleness, start).order, std::vector<std::string>{"1"});
    engines[1].version = 2;
    EXPECT_TRUE(plan_wave(engines, 2, wave_strategy::staleness, start + milliseconds{200}).order.empty());
    EXPECT_EQ(plan_wave(engines, 2, wave_strategy::staleness, start + milliseconds{250}).order.size(), 1U);
    engines[0].failures = 3;
    EXPECT_TRUE(plan_wave(engines, 2, wave_strategy::staleness, start + milliseconds{900}).order.empty());
    EXPECT_EQ(plan_wave(engines, 2, wave_strategy::staleness, start + milliseconds{1000}).order.size(), 1U);
}

TEST(wave_plan, reloads_an_engine_that_returns_with_old_weights)
{
    auto engines = engines_at(2, 5);
    EXPECT_TRUE(plan_wave(engines, 5, wave_strategy::idle, start).order.empty());
    engines[1].version = 1;
    EXPECT_EQ(plan_wave(engines, 5, wave_strategy::idle, start).order, std::vector<std::string>{"1"});
}

TEST(wave_plan, drain_all_drains_before_loading)
{
    auto engines = engines_at(4, 1);
    auto actions = plan_wave(engines, 2, wave_strategy::drain_all, start);
    EXPECT_TRUE(actions.hold_new_work);
    EXPECT_TRUE(actions.order.empty());
    for (auto& engine : engines) {
        engine.in_flight = 0;
    }
    actions = plan_wave(engines, 2, wave_strategy::drain_all, start);
    EXPECT_EQ(actions.order.size(), 4U);
    EXPECT_FALSE(plan_wave(engines_at(4, 2), 2, wave_strategy::drain_all, start).hold_new_work);
}

} // namespace
} // namespace vanillagauge::policy
