#include "policy/weight_load_plan.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

namespace vanillagauge::policy {
namespace {

/// Above about a fifth of the engines, concurrent loads slow each other down: they finish no sooner and block
/// their engines for longer.
constexpr std::size_t share_at_once = 5;
constexpr std::size_t min_at_once = 2;

/// A model that needs less of an engine may share one that another model follows.
constexpr double max_small_load = 0.5;

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

/// The engines in the order in which a model wants them: those with its newest version first, so that the
/// assignment stays stable while engines join and leave.
std::vector<std::size_t> preference(const std::vector<model_engine>& engines, const std::string& model)
{
    struct ranked_engine {
        std::uint64_t version = 0;
        std::uint64_t hash = 0;
        std::size_t index = 0;
    };
    std::vector<ranked_engine> ranked;
    ranked.reserve(engines.size());
    for (std::size_t index = 0; index < engines.size(); ++index) {
        ranked.push_back({version_at(engines[index], model), hash64(engines[index].id + model), index});
    }
    std::sort(ranked.begin(), ranked.end(), [](const ranked_engine& left, const ranked_engine& right) {
        return std::tuple(left.version, left.hash) > std::tuple(right.version, right.hash);
    });
    std::vector<std::size_t> order;
    order.reserve(ranked.size());
    for (const auto& entry : ranked) {
        order.push_back(entry.index);
    }
    return order;
}

/// A model's part in the engines.
struct model_share {
    std::string model;
    double engines = 0;       ///< its share of the demand, in engines
    std::size_t replicas = 1; ///< engines that follow it
    std::vector<std::size_t> order;
    std::vector<std::size_t> chosen;

    double load() const { return engines / static_cast<double>(replicas); }
};

std::vector<model_share> shares_of(const std::vector<model_engine>& engines,
                                   const std::map<std::string, std::uint64_t>& newest,
                                   const std::map<std::string, double>& demand)
{
    double known = 0;
    std::size_t count = 0;
    for (const auto& [model, wanted] : demand) {
        if (newest.contains(model) && wanted > 0) {
            known += wanted;
            ++count;
        }
    }
    // A model whose demand is not known gets an average share.
    const double mean = count > 0 ? known / static_cast<double>(count) : 1;
    const double total = known + mean * static_cast<double>(newest.size() - count);
    std::vector<model_share> shares;
    for (const auto& [model, version] : newest) {
        const auto found = demand.find(model);
        const double wanted = found != demand.end() && found->second > 0 ? found->second : mean;
        model_share share;
        share.model = model;
        share.engines = wanted / total * static_cast<double>(engines.size());
        share.replicas = std::max(std::size_t{1}, static_cast<std::size_t>(share.engines));
        share.order = preference(engines, model);
        shares.push_back(std::move(share));
    }
    std::stable_sort(shares.begin(), shares.end(), [](const model_share& left, const model_share& right) {
        return left.load() > right.load();
    });
    return shares;
}

/// The models' choices of engines, which they make in turn.
class engine_choice {
public:
    explicit engine_choice(std::size_t engines) : loads_(engines, 0), empty_(engines) {}

    std::size_t empty() const { return empty_; }

    /// The engine for one more replica of the model. Small models share an engine where they fit; else an
    /// engine without a model, or the one with the least load.
    void choose(model_share& share, double load)
    {
        std::optional<std::size_t> fitting;
        std::optional<std::size_t> unused;
        std::optional<std::size_t> least;
        for (const auto index : share.order) {
            if (std::find(share.chosen.begin(), share.chosen.end(), index) != share.chosen.end()) {
                continue;
            }
            const bool used = loads_[index] > 0;
            if (!fitting && used && loads_[index] + load <= 1) {
                fitting = index;
            }
            if (!unused && !used) {
                unused = index;
            }
            if (!least || loads_[index] < loads_[*least]) {
                least = index;
            }
        }
        const bool small = load < max_small_load;
        const auto chosen = small && fitting ? fitting : unused ? unused : least;
        if (!chosen) {
            return;
        }
        empty_ -= loads_[*chosen] > 0 ? 0 : 1;
        loads_[*chosen] += load;
        share.chosen.push_back(*chosen);
    }

private:
    std::vector<double> loads_;
    std::size_t empty_;
};

/// Engines by demand: each model gets its share, at least one engine, and what is left goes where the load of
/// an engine is highest.
std::vector<assignment> assign(const std::vector<model_engine>& engines,
                               const std::map<std::string, std::uint64_t>& newest,
                               const std::map<std::string, double>& demand)
{
    std::vector<assignment> assigned;
    if (engines.empty() || newest.empty()) {
        return assigned;
    }
    auto shares = shares_of(engines, newest, demand);
    engine_choice choice(engines.size());
    for (auto& share : shares) {
        for (std::size_t replica = 0; replica < share.replicas; ++replica) {
            choice.choose(share, share.load());
        }
    }
    while (choice.empty() > 0) {
        auto& busiest = *std::max_element(
            shares.begin(), shares.end(),
            [](const model_share& left, const model_share& right) { return left.load() < right.load(); });
        ++busiest.replicas;
        choice.choose(busiest, 1);
    }
    for (const auto& share : shares) {
        for (const auto index : share.chosen) {
            assigned.push_back({&engines[index], share.model, newest.at(share.model)});
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
// model only; its other models serve until they are too old. With more models than engines some engines
// follow two: a model without an engine would serve no step after the second. The engines furthest behind
// load first.
std::vector<weight_load> plan_weight_loads(const std::vector<model_engine>& engines,
                                           const std::map<std::string, std::uint64_t>& newest,
                                           const std::map<std::string, double>& demand)
{
    const auto loading = static_cast<std::size_t>(std::count_if(
        engines.begin(), engines.end(), [](const model_engine& engine) { return engine.loading; }));
    const auto max_loads = max_concurrent_loads(engines.size());
    auto behind = assign(engines, newest, demand);
    std::erase_if(behind, [](const assignment& item) {
        return item.lag() == 0 || item.engine->loading || item.engine->backing_off;
    });
    std::stable_sort(behind.begin(), behind.end(), [](const assignment& left, const assignment& right) {
        return std::tuple(right.lag(), left.engine->in_flight) <
               std::tuple(left.lag(), right.engine->in_flight);
    });
    std::vector<weight_load> plan;
    std::set<const model_engine*> chosen;
    for (const auto& item : behind) {
        if (loading + plan.size() >= max_loads) {
            break;
        }
        if (chosen.insert(item.engine).second) {
            plan.push_back({item.engine->id, item.model, item.newest});
        }
    }
    return plan;
}

} // namespace vanillagauge::policy
