#include "policy/wave_plan.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

constexpr std::size_t staleness_share = 2;
constexpr std::size_t idle_share = 8;
constexpr milliseconds first_retry{250};
constexpr int max_doublings = 5;

bool behind(const wave_engine& engine, std::uint64_t announced)
{
    return engine.version < announced && !engine.leaving;
}

bool backing_off(const wave_engine& engine, time_point now)
{
    if (engine.failures == 0) {
        return false;
    }
    return now < engine.failed_at + first_retry * (1 << std::min(engine.failures - 1, max_doublings));
}

/// Least work interrupted first, then oldest weights first.
void sort_by_cost(std::vector<const wave_engine*>& waiting)
{
    std::stable_sort(waiting.begin(), waiting.end(), [](const wave_engine* left, const wave_engine* right) {
        return left->in_flight != right->in_flight ? left->in_flight < right->in_flight
                                                   : left->version < right->version;
    });
}

void sort_by_age(std::vector<const wave_engine*>& waiting)
{
    std::stable_sort(waiting.begin(), waiting.end(), [](const wave_engine* left, const wave_engine* right) {
        return left->version < right->version;
    });
}

std::vector<std::string> to_fetch(const std::vector<wave_engine>& engines, std::uint64_t announced)
{
    std::vector<std::string> chosen;
    for (const auto& engine : engines) {
        if (behind(engine, announced) && !engine.fetch_granted && !engine.fetch_requested) {
            chosen.push_back(engine.id);
        }
    }
    return chosen;
}

std::vector<std::string> drain_then_all(const std::vector<wave_engine>& engines, std::uint64_t announced,
                                        time_point now)
{
    std::vector<std::string> chosen;
    for (const auto& engine : engines) {
        if (!engine.leaving && engine.in_flight > 0) {
            return {};
        }
        if (behind(engine, announced) && engine.fetch_granted && !engine.order_pending &&
            !backing_off(engine, now)) {
            chosen.push_back(engine.id);
        }
    }
    return chosen;
}

} // namespace

std::size_t max_wave_loads(std::size_t able, wave_strategy strategy)
{
    const std::size_t share = strategy == wave_strategy::staleness ? staleness_share : idle_share;
    return std::max<std::size_t>(1, able / share);
}

// Load pattern: a new version every step, an engine that loads serves nothing, and the weight store grants a
// few fetches a second. Loading all at once leaves the step without engines and queues at the store; one by
// one, the last engine generates stale samples until the next version is announced. Fetches are requested
// before the load order, so a wave never waits for the store while engines idle. `staleness` loads half at
// once, oldest first: fewer prolongs the generation of stale samples, more leaves the current step too few
// engines. `idle` loads an eighth, the least busy first: a load interrupts its engine's streams, and an
// eighth is about what a step's tail leaves unused. A failed load is retried after 250 ms, doubled up to 8 s,
// so one broken engine neither blocks its wave nor floods the store. Orders always name the newest announced
// version, so versions only increase, and an engine that reports older weights is behind again, whatever the
// response to an earlier order.
wave_actions plan_wave(const std::vector<wave_engine>& engines, std::uint64_t announced,
                       wave_strategy strategy, time_point now)
{
    wave_actions actions;
    actions.fetch = to_fetch(engines, announced);
    if (strategy == wave_strategy::drain_all) {
        actions.hold_new_work = std::any_of(engines.begin(), engines.end(), [&](const wave_engine& engine) {
            return behind(engine, announced) && engine.reachable;
        });
        actions.order = drain_then_all(engines, announced, now);
        return actions;
    }
    std::size_t able = 0;
    std::size_t loading = 0;
    std::vector<const wave_engine*> waiting;
    for (const auto& engine : engines) {
        able += !engine.leaving && engine.reachable ? 1 : 0;
        loading += engine.order_pending ? 1 : 0;
        const bool due = behind(engine, announced) && engine.fetch_granted && !engine.order_pending;
        if (due && engine.reachable && !backing_off(engine, now)) {
            waiting.push_back(&engine);
        }
    }
    strategy == wave_strategy::idle ? sort_by_cost(waiting) : sort_by_age(waiting);
    const std::size_t max_loads = max_wave_loads(able, strategy);
    for (const auto* engine : waiting) {
        if (loading + actions.order.size() < max_loads) {
            actions.order.push_back(engine->id);
        }
    }
    return actions;
}

} // namespace vanillagauge::policy
