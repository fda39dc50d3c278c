#include "policy/run_move.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Of a move: a new connection and a second reading of the prompt.
constexpr fractional_ms move_cost{60};
/// A move pays if the step ends a tenth sooner. Smaller gains are within the error of the lengths.
constexpr double worthwhile_share = 0.9;
/// For runs of unknown length: long enough that a move off a slow engine pays.
constexpr double assumed_events = 100;

} // namespace

fractional_ms run_end(const std::vector<finish_engine>& engines, const std::vector<fractional_ms>& gaps,
                      const run_view& run)
{
    return fractional_ms(engines[run.engine].pause) + run.events_left * gaps[run.engine];
}

// Load pattern: many short items and a few as long as the step may take, on engines of several speeds, some
// of which become slow for seconds. A step ends with its last needed run, so only the runs that end in the
// last tenth of the step can make it end clearly sooner, and only if all of them can: a single move beside
// another run that is as late repeats work for nothing. The latest run takes the best free place first, and
// each place is counted once.
std::optional<std::size_t> choose_move(const std::vector<finish_engine>& engines, std::uint64_t min_version,
                                       std::vector<run_view> runs)
{
    for (auto& run : runs) {
        run.events_left = run.events_left > 0 ? run.events_left : assumed_events;
    }
    const auto gaps = known_gaps(engines);
    std::vector<std::pair<fractional_ms, std::size_t>> last;
    fractional_ms step_end{0};
    for (std::size_t index = 0; index < runs.size(); ++index) {
        last.emplace_back(run_end(engines, gaps, runs[index]), index);
        step_end = std::max(step_end, last.back().first);
    }
    const auto bound = step_end * worthwhile_share;
    std::erase_if(last, [&](const auto& entry) { return entry.first <= bound; });
    std::sort(last.begin(), last.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    });
    std::vector<int> taken(engines.size(), 0);
    for (const auto& [ends_in, index] : last) {
        const auto& run = runs[index];
        std::optional<std::size_t> best;
        fractional_ms best_end = bound;
        for (std::size_t other = 0; run.movable && other < engines.size(); ++other) {
            const auto& engine = engines[other];
            const bool open = engine.usable && engine.pause <= duration{0} && engine.version >= min_version &&
                              engine.free_places > taken[other];
            if (!open || other == run.engine) {
                continue;
            }
            const int streams = engine.streams + taken[other] + 1;
            const auto end =
                move_cost + run.events_left * gap_with_streams(gaps[other], engine.streams, streams);
            if (end <= best_end) {
                best = other;
                best_end = end;
            }
        }
        if (!best) {
            return std::nullopt;
        }
        ++taken[*best];
    }
    return last.empty() ? std::nullopt : std::optional{last.front().second};
}

} // namespace vanillagauge::policy
