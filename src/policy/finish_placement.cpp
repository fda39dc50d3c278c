#include "policy/finish_placement.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <utility>

namespace vanillagauge::policy {
namespace {

/// Each further stream makes an engine's events later by this share (docs/hard-load.md).
constexpr double slowdown_per_stream = 0.013;
/// Ends that differ by less count as equal; the means of the gaps are no more exact.
constexpr double tie = 1.02;
/// Engines with a multiple of the fastest gap over 1.02^200 (52) share the last class.
constexpr int max_class = 200;
/// An engine slower than this multiple of the fastest gets no item for its shortness. With 2.0, steps with
/// 40% of the long items hinted as short ones ended at 1.33 times the lower bound instead of 1.11 (the test's
/// load).
constexpr double max_slowness = 1.5;
/// Permanent differences of speed stay below this multiple of the median; a larger gap is a disturbance of
/// some seconds, and an idle engine shows its end by no event.
constexpr double disturbed_factor = 2;
constexpr seconds disturbance_time{5};
/// Without any measurement all engines count as equal, so the value matters only for the horizon.
constexpr fractional_ms default_gap{50};

struct candidate {
    std::size_t engine = 0;
    double ends_in_ms = 0;
    bool free = false;
};

/// The engines during a plan, in classes of about equal gap, so that an item looks at one or two engines of
/// each class instead of at all.
class engine_classes {
public:
    engine_classes(const std::vector<finish_engine>& engines, std::uint64_t min_version) : engines_(engines)
    {
        const auto gaps = known_gaps(engines);
        fastest_ms_ = std::numeric_limits<double>::infinity();
        states_.resize(engines.size());
        for (std::size_t index = 0; index < engines.size(); ++index) {
            const auto& engine = engines[index];
            auto& state = states_[index];
            state.base_gap = gap_with_streams(gaps[index], engine.streams, 1);
            if (engine.usable && engine.version >= min_version) {
                fastest_ms_ = std::min(fastest_ms_, state.base_gap.count());
            }
            state.id_hash = hash64(engine.id);
            state.streams = engine.streams;
            state.free_places = engine.pause > duration{0} ? 0 : std::max(0, engine.free_places);
            const double pause = fractional_ms(engine.pause).count();
            if (engine.pause > duration{0}) {
                state.ends_ms.assign(static_cast<std::size_t>(std::max(0, engine.free_places)), pause);
            }
            for (const auto end : engine.run_ends) {
                state.ends_ms.push_back(fractional_ms(std::max(end, duration{0})).count() + pause);
            }
            std::make_heap(state.ends_ms.begin(), state.ends_ms.end(), std::greater<>{});
        }
        for (std::size_t index = 0; index < engines.size(); ++index) {
            if (engines[index].usable && engines[index].version >= min_version) {
                insert(index);
            }
        }
    }

    bool has_free_place() const { return free_engines_ > 0; }

    /// The engine where the item ends first; among those within the tie a free one, then the first by
    /// rendezvous rank.
    std::optional<candidate> earliest(const finish_item& item, double events, const std::string& avoid,
                                      bool only_free) const
    {
        std::vector<candidate> found;
        double bound_ms = std::numeric_limits<double>::infinity();
        for (const auto& [number, members] : classes_) {
            if (events * fastest_ms_ * std::pow(tie, number) > bound_ms) {
                break;
            }
            if (const auto free = free_engine(members, item.prefix_hash, avoid)) {
                found.push_back(estimate(*free, item, events, 0, true));
                bound_ms = std::min(bound_ms, found.back().ends_in_ms * tie);
            }
            const auto full = std::find_if(members.full.begin(), members.full.end(), [&](const auto& entry) {
                return engines_[entry.second].id != avoid;
            });
            if (!only_free && full != members.full.end()) {
                found.push_back(estimate(full->second, item, events, full->first, false));
                bound_ms = std::min(bound_ms, found.back().ends_in_ms * tie);
            }
        }
        std::erase_if(found, [&](const candidate& engine) { return engine.ends_in_ms > bound_ms; });
        const auto best =
            std::max_element(found.begin(), found.end(), [&](const auto& left, const auto& right) {
                return left.free != right.free
                           ? right.free
                           : rank(left.engine, item.prefix_hash) < rank(right.engine, item.prefix_hash);
            });
        return best == found.end() ? std::nullopt : std::optional{*best};
    }

    // Load pattern: a few long items among many short ones. Short items on the fast engines take the places
    // that the next step's long ones need. A hint is often far off, so an item goes to a slow engine only if
    // it ends before the horizon with the length that few items exceed, and the engine is not so slow that
    // the few decide when the step ends.
    std::optional<candidate> slowest_before(const finish_item& item, double events, double horizon_ms) const
    {
        if (item.likely_events_left <= 0) {
            return std::nullopt;
        }
        const double gap_ms = std::min(horizon_ms / item.likely_events_left, fastest_ms_ * max_slowness);
        if (!(gap_ms >= fastest_ms_)) {
            return std::nullopt;
        }
        for (auto next = classes_.upper_bound(class_of(gap_ms)); next != classes_.begin();) {
            --next;
            const auto free = free_engine(next->second, item.prefix_hash, item.avoid);
            const auto engine = free ? estimate(*free, item, item.likely_events_left, 0, true) : candidate{};
            if (free && engine.ends_in_ms <= horizon_ms) {
                return estimate(*free, item, events, 0, true);
            }
        }
        return std::nullopt;
    }

    /// The item takes the engine's next place until its end.
    void take_place(const candidate& chosen)
    {
        auto& state = states_[chosen.engine];
        remove(chosen.engine);
        if (chosen.free) {
            --state.free_places;
            ++state.streams;
        }
        else {
            std::pop_heap(state.ends_ms.begin(), state.ends_ms.end(), std::greater<>{});
            state.ends_ms.pop_back();
        }
        state.ends_ms.push_back(chosen.ends_in_ms);
        std::push_heap(state.ends_ms.begin(), state.ends_ms.end(), std::greater<>{});
        insert(chosen.engine);
    }

private:
    struct engine_state {
        fractional_ms base_gap{}; ///< with a single stream
        std::uint64_t id_hash = 0;
        int number = 0; ///< of its class
        int streams = 0;
        int free_places = 0;
        std::vector<double> ends_ms; ///< when taken places become free; heap, earliest first
    };

    struct engine_class {
        std::set<std::pair<std::uint64_t, std::size_t>> free; ///< by hash of the id
        std::set<std::pair<double, std::size_t>> full;        ///< by the time of the next free place
    };

    const std::vector<finish_engine>& engines_;
    std::vector<engine_state> states_;
    std::map<int, engine_class> classes_;
    double fastest_ms_ = 0;
    std::size_t free_engines_ = 0;

    std::uint64_t rank(std::size_t engine, std::uint64_t prefix_hash) const
    {
        return hash64(engines_[engine].id, prefix_hash);
    }

    /// With the stream that is to be added; a full engine has as many streams as before.
    double next_gap_ms(std::size_t index) const
    {
        const auto& state = states_[index];
        const int streams = state.streams + (state.free_places > 0 ? 1 : 0);
        return gap_with_streams(state.base_gap, 1, streams).count();
    }

    int class_of(double gap_ms) const
    {
        const double number = std::log(gap_ms / fastest_ms_) / std::log(tie);
        return static_cast<int>(std::clamp(number, 0.0, double{max_class}));
    }

    void insert(std::size_t index)
    {
        auto& state = states_[index];
        state.number = class_of(next_gap_ms(index));
        if (state.free_places > 0) {
            classes_[state.number].free.emplace(state.id_hash, index);
            ++free_engines_;
        }
        else if (!state.ends_ms.empty()) {
            classes_[state.number].full.emplace(state.ends_ms.front(), index);
        }
    }

    void remove(std::size_t index)
    {
        const auto& state = states_[index];
        const auto found = classes_.find(state.number);
        if (state.free_places > 0) {
            found->second.free.erase({state.id_hash, index});
            --free_engines_;
        }
        else {
            found->second.full.erase({state.ends_ms.front(), index});
        }
        if (found->second.free.empty() && found->second.full.empty()) {
            classes_.erase(found);
        }
    }

    /// The first on the ring after the prefix's hash, so that a group's items meet without a rank for each
    /// engine and group.
    std::optional<std::size_t> free_engine(const engine_class& members, std::uint64_t prefix_hash,
                                           const std::string& avoid) const
    {
        auto next = members.free.lower_bound({prefix_hash, 0});
        for (std::size_t looked = 0; looked < std::min<std::size_t>(2, members.free.size()); ++looked) {
            next = next == members.free.end() ? members.free.begin() : next;
            if (engines_[next->second].id != avoid) {
                return next->second;
            }
            ++next;
        }
        return std::nullopt;
    }

    candidate estimate(std::size_t index, const finish_item& item, double events, double wait_ms,
                       bool free) const
    {
        const double speed = engines_[index].prompt_tokens_per_ms;
        const double prompt_ms = speed > 0 ? item.prompt_tokens / speed : 0;
        return {index, wait_ms + prompt_ms + events * next_gap_ms(index), free};
    }
};

/// Expected events left by item; the median of the known ones where it is unknown.
std::vector<double> events_of(const std::vector<finish_item>& items)
{
    std::vector<double> known;
    for (const auto& item : items) {
        if (item.events_left > 0) {
            known.push_back(item.events_left);
        }
    }
    double median = 1;
    if (!known.empty()) {
        const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
        std::nth_element(known.begin(), middle, known.end());
        median = *middle;
    }
    std::vector<double> events;
    events.reserve(items.size());
    for (const auto& item : items) {
        events.push_back(item.events_left > 0 ? item.events_left : median);
    }
    return events;
}

} // namespace

std::vector<fractional_ms> known_gaps(const std::vector<finish_engine>& engines)
{
    const auto is_known = [](fractional_ms gap) { return gap.count() > 0 && std::isfinite(gap.count()); };
    std::vector<fractional_ms> known;
    for (const auto& engine : engines) {
        if (is_known(engine.gap)) {
            known.push_back(engine.gap);
        }
    }
    auto median = default_gap;
    if (!known.empty()) {
        const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
        std::nth_element(known.begin(), middle, known.end());
        median = *middle;
    }
    std::vector<fractional_ms> gaps;
    gaps.reserve(engines.size());
    for (const auto& engine : engines) {
        const bool outdated = engine.gap_age > disturbance_time && engine.gap > disturbed_factor * median;
        gaps.push_back(is_known(engine.gap) && !outdated ? engine.gap : median);
    }
    return gaps;
}

fractional_ms gap_with_streams(fractional_ms gap, int streams_now, int streams)
{
    const auto factor = [](int count) { return 1 + slowdown_per_stream * std::max(0, count - 1); };
    return gap * (factor(streams) / factor(streams_now));
}

// Load pattern: a step is as late as its longest needed item, and engines differ in speed by more than a
// factor of two. Filling the fast engines in any order leaves a long item for a slow engine; so the longest
// items choose first, each the engine where it ends first, and may wait there for a place. A place that an
// item waits for counts as taken for the items after it. Spare items neither wait for a place nor hold one.
finish_plan plan_starts(const std::vector<finish_engine>& engines, const finish_step& step)
{
    finish_plan plan;
    engine_classes classes(engines, step.min_version);
    const auto events = events_of(step.items);
    std::vector<std::size_t> order(step.items.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        const auto& a = step.items[left];
        const auto& b = step.items[right];
        return a.need != b.need ? a.need < b.need : events[left] > events[right];
    });
    double horizon_ms = fractional_ms(step.horizon).count();
    for (std::size_t turn = 0; turn < order.size(); ++turn) {
        if (!classes.has_free_place()) {
            plan.without_place += order.size() - turn;
            break;
        }
        const auto& item = step.items[order[turn]];
        const bool spare = item.need == group_need::spare;
        auto chosen = classes.slowest_before(item, events[order[turn]], horizon_ms);
        chosen = chosen ? chosen : classes.earliest(item, events[order[turn]], item.avoid, spare);
        chosen = chosen ? chosen : classes.earliest(item, events[order[turn]], {}, spare);
        if (!chosen) {
            ++plan.without_place;
            continue;
        }
        if (!spare) {
            horizon_ms = std::max(horizon_ms, chosen->ends_in_ms);
        }
        if (chosen->free) {
            plan.starts.push_back({order[turn], chosen->engine, fractional_ms{chosen->ends_in_ms}});
        }
        else {
            ++plan.waiting_for_faster;
        }
        classes.take_place(*chosen);
    }
    return plan;
}

} // namespace vanillagauge::policy
