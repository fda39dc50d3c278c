#include "policy/weight_load_plan.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <tuple>

namespace vanillagauge::policy {
namespace {

/// Above about a fifth of the engines, concurrent loads slow each other down: they finish no sooner and block
/// their engines for longer.
constexpr std::size_t share_at_once = 5;
constexpr std::size_t min_at_once = 2;

std::uint64_t version_at(const model_engine& engine, const std::string& model)
{
    const auto found = engine.versions.find(model);
    return found == engine.versions.end() ? 0 : found->second;
}

struct assignment {
    const model_engine* engine = nullptr;
    std::string model;
    std::uint64_t newest = 0;

    std::uint64_t lag() const { return newest - std::min(newest, version_at(*engine, model)); }
};

/// Models choose engines round robin, each the engine with its newest version, so that the assignment stays
/// stable while engines join and leave.
std::vector<assignment> assign(const std::vector<model_engine>& engines,
                               const std::map<std::string, std::uint64_t>& newest)
{
    std::vector<const model_engine*> left;
    left.reserve(engines.size());
    for (const auto& engine : engines) {
        left.push_back(&engine);
    }
    std::vector<assignment> assigned;
    while (!left.empty() && !newest.empty()) {
        for (const auto& [model, version] : newest) {
            if (left.empty()) {
                break;
            }
            const auto best = std::max_element(
                left.begin(), left.end(), [&model = model](const auto* one, const auto* other) {
                    return std::tuple(version_at(*one, model), hash64(one->id + model)) <
                           std::tuple(version_at(*other, model), hash64(other->id + model));
                });
            assigned.push_back({*best, model, version});
            left.erase(best);
        }
    }
    return assigned;
}

} // namespace

std::size_t max_concurrent_loads(std::size_t engines)
{
    return std::max(min_at_once, engines / share_at_once);
}

// Load pattern: several trainers announce a new version every few seconds for models on the same engines. If
// every engine loaded every model, loads would never catch up (two models on nine engines: 18 one-second
// loads in four seconds, two at a time), no engine would reach the newest version before the next
// announcement, and a trainer's steps would find no engine that is fresh enough. So each engine follows one
// model only; its other models serve until they are too old. The engines furthest behind load first.
std::vector<weight_load> plan_weight_loads(const std::vector<model_engine>& engines,
                                           const std::map<std::string, std::uint64_t>& newest)
{
    const auto loading = static_cast<std::size_t>(std::count_if(
        engines.begin(), engines.end(), [](const model_engine& engine) { return engine.loading; }));
    const auto max_loads = max_concurrent_loads(engines.size());
    auto behind = assign(engines, newest);
    std::erase_if(behind, [](const assignment& item) {
        return item.lag() == 0 || item.engine->loading || item.engine->backing_off;
    });
    std::stable_sort(behind.begin(), behind.end(), [](const assignment& left, const assignment& right) {
        return std::tuple(right.lag(), left.engine->in_flight) <
               std::tuple(left.lag(), right.engine->in_flight);
    });
    std::vector<weight_load> plan;
    for (const auto& item : behind) {
        if (loading + plan.size() >= max_loads) {
            break;
        }
        plan.push_back({item.engine->id, item.model, item.newest});
    }
    return plan;
}

} // namespace vanillagauge::policy
