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

/// A load takes 0.9 s. An idle engine that starts one later than this before the next version is announced
/// would refuse the items of the step that comes with that version.
constexpr milliseconds min_time_for_idle_load{1500};

/// A model that needs less of an engine may share one that another model follows.
constexpr double max_small_load = 0.5;

/// Work comes from other programs; sums and shares of more are beyond a double.
constexpr double max_demand = 1e15;

std::uint64_t version_at(const model_engine& engine, const std::string& model)
{
    const auto found = engine.versions.find(model);
    return found == engine.versions.end() ? 0 : found->second;
}

/// Whether the engine can serve the newest step, which takes the version before the newest as well. An
/// engine whose version is not known may have none.
bool serves_newest_step(const model_engine& engine, const std::string& model, std::uint64_t newest)
{
    const auto version = version_at(engine, model);
    return version > 0 && version + 1 >= newest;
}

struct assignment {
    const model_engine* engine = nullptr;
    std::string model;
    std::uint64_t newest = 0;

    bool is_newest() const { return version_at(*engine, model) >= newest; }
    bool serves() const { return serves_newest_step(*engine, model, newest); }
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

/// None if it is not known.
std::optional<double> demand_of(const std::string& model, const std::map<std::string, double>& demand)
{
    const auto found = demand.find(model);
    const bool known = found != demand.end() && found->second > 0;
    return known ? std::optional(std::min(found->second, max_demand)) : std::nullopt;
}

std::vector<model_share> shares_of(const std::vector<model_engine>& engines,
                                   const std::map<std::string, std::uint64_t>& newest,
                                   const std::map<std::string, double>& demand)
{
    double known = 0;
    std::size_t count = 0;
    for (const auto& [model, version] : newest) {
        if (const auto wanted = demand_of(model, demand)) {
            known += *wanted;
            ++count;
        }
    }
    // A model whose demand is not known gets an average share.
    const double mean = count > 0 ? known / static_cast<double>(count) : 1;
    const double total = known + mean * static_cast<double>(newest.size() - count);
    std::vector<model_share> shares;
    for (const auto& [model, version] : newest) {
        const double wanted = demand_of(model, demand).value_or(mean);
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
    explicit engine_choice(std::size_t engines) : loads_(engines, 0), used_(engines, false), empty_(engines)
    {
    }

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
            const bool used = used_[index];
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
        empty_ -= used_[*chosen] ? 0 : 1;
        used_[*chosen] = true;
        loads_[*chosen] += load;
        share.chosen.push_back(*chosen);
    }

private:
    std::vector<double> loads_;
    std::vector<bool> used_; ///< a share may be too small to count in a load
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

/// The state of one model, kept up while the plan is made.
struct model_state {
    std::size_t missing = 0;         ///< loads that are needed until half of its engines are newest
    std::size_t serving = 0;         ///< engines that serve its newest step and do not load
    std::size_t serving_loading = 0; ///< engines that would serve it but load
    bool loads = false;              ///< an engine that follows it loads
    model_schedule schedule;
};

std::map<std::string, model_state> states_of(const std::vector<model_engine>& engines,
                                             const std::vector<assignment>& assigned,
                                             const std::map<std::string, std::uint64_t>& newest,
                                             const std::map<std::string, model_schedule>& schedules)
{
    std::map<std::string, model_state> states;
    for (const auto& [model, version] : newest) {
        auto& state = states[model];
        if (const auto found = schedules.find(model); found != schedules.end()) {
            state.schedule = found->second;
        }
        for (const auto& engine : engines) {
            if (serves_newest_step(engine, model, version)) {
                ++(engine.loading ? state.serving_loading : state.serving);
            }
        }
        std::size_t followers = 0;
        std::size_t at_newest = 0;
        for (const auto& item : assigned) {
            if (item.model == model) {
                ++followers;
                at_newest += item.is_newest() || item.engine->loading ? 1 : 0;
                state.loads = state.loads || item.engine->loading;
            }
        }
        const auto half = (followers + 1) / 2;
        state.missing = half - std::min(half, at_newest);
    }
    return states;
}

bool has_long_run(const assignment& item, const model_schedule& schedule)
{
    return schedule.next_version_in && item.engine->longest_run_left > *schedule.next_version_in;
}

/// The order in which engines load: least first.
auto rank(const assignment& item, const model_state& state)
{
    const auto& engine = *item.engine;
    const bool idle = engine.in_flight == 0 && engine.events_left <= 0;
    // An engine that lets its runs finish first is blocked until its longest one has ended.
    const auto blocked = state.schedule.finish_first ? engine.longest_run_left : duration{0};
    return std::tuple(item.serves(), has_long_run(item, state.schedule),
                      state.schedule.slack.value_or(duration::max()), !idle, blocked, engine.events_left,
                      engine.in_flight);
}

// Guards against a trainer whose steps no engine serves while all places for loads go to the others: each
// model without a server gets one load before any other.
void move_unserved_to_front(std::vector<assignment>& behind, std::map<std::string, model_state> states)
{
    std::stable_partition(behind.begin(), behind.end(), [&states](const assignment& item) {
        auto& state = states.at(item.model);
        const bool first = !state.loads && state.serving + state.serving_loading == 0;
        state.loads = true;
        return first;
    });
}

/// Whether an engine that serves the newest step may load: half of the engines need it, or it delays nothing.
bool may_load_serving(const assignment& item, const model_state& state)
{
    // Some other engine must serve the newest step meanwhile. Waiting is in vain where there is no other.
    const bool only_one = state.serving + state.serving_loading == 1;
    if (state.serving < 2 && !only_one) {
        return false;
    }
    if (state.missing > 0) {
        return true;
    }
    const auto& next = state.schedule.next_version_in;
    const bool in_time = !next || *next >= min_time_for_idle_load;
    return item.engine->in_flight == 0 && item.engine->events_left <= 0 && in_time;
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
// follow two: a model without an engine would serve no step after the second.
//
// A load pauses the engine's streams for 0.9 s and keeps new ones out. An engine two versions behind serves
// no new step, so its load adds a server; it loads first, for the trainer with the least slack before others.
// An engine one version behind still serves the newest step, so its load takes a server away: only half of a
// model's engines load each version, those with the least work left, and each engine loads every second one.
// An idle engine beyond this half delays no run; it loads too unless the next step is near.
weight_load_plan plan_weight_loads(const std::vector<model_engine>& engines,
                                   const std::map<std::string, std::uint64_t>& newest,
                                   const std::map<std::string, double>& demand,
                                   const std::map<std::string, model_schedule>& schedules)
{
    const auto loading = static_cast<std::size_t>(std::count_if(
        engines.begin(), engines.end(), [](const model_engine& engine) { return engine.loading; }));
    const auto max_loads = max_concurrent_loads(engines.size());
    auto behind = assign(engines, newest, demand);
    auto states = states_of(engines, behind, newest, schedules);
    std::erase_if(behind, [](const assignment& item) {
        return item.is_newest() || item.engine->loading || item.engine->backing_off;
    });
    std::stable_sort(behind.begin(), behind.end(), [&](const assignment& left, const assignment& right) {
        return rank(left, states.at(left.model)) < rank(right, states.at(right.model));
    });
    move_unserved_to_front(behind, states);
    weight_load_plan plan;
    std::set<const model_engine*> chosen;
    for (const auto& item : behind) {
        auto& state = states.at(item.model);
        if (item.serves() && !may_load_serving(item, state)) {
            ++plan.deferred[item.model];
            continue;
        }
        if (loading + plan.loads.size() >= max_loads || !chosen.insert(item.engine).second) {
            continue;
        }
        plan.loads.push_back({item.engine->id, item.model, item.newest});
        state.missing -= std::min<std::size_t>(state.missing, 1);
        for (auto& [model, other] : states) {
            if (serves_newest_step(*item.engine, model, newest.at(model))) {
                --other.serving;
                ++other.serving_loading;
            }
        }
    }
    return plan;
}

} // namespace vanillagauge::policy
