// Chooses the engines of the items to start, and the runs to move to faster engines.
#include "gateway/internal/batch_run.hpp"
#include "policy/engine_speed.hpp"
#include "policy/run_move.hpp"
#include "policy/step_placement.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

/// Minimum age of a run that is moved off a slow engine. A move keeps the text and costs a few milliseconds
/// to process the prompt again; younger runs are not worth it.
constexpr milliseconds min_run_time{600};

double slow_gap_of(const std::vector<target_ref>& engines)
{
    std::vector<double> gaps;
    gaps.reserve(engines.size());
    for (const auto& engine : engines) {
        gaps.push_back(engine->mean_gap_ms);
    }
    return policy::slow_gap_threshold(std::move(gaps));
}

std::uint64_t prompt_hash(const batch_item& item)
{
    return hash64(item.group.empty() ? item.id : item.group);
}

} // namespace

bool batch_runner::has_waiting_items() const
{
    for (const auto& [id, batch] : active_) {
        if (!batch) {
            continue;
        }
        const auto& items = batch->progress.items();
        if (std::any_of(items.begin(), items.end(),
                        [](const item_progress& entry) { return entry.state == work_state::waiting; })) {
            return true;
        }
    }
    return false;
}

bool batch_runner::place_items_of(const batch_run_ref& batch, const std::vector<target_ref>& engines)
{
    const auto now = steady::now();
    auto& progress = batch->progress;
    std::vector<policy::engine_view> views;
    for (const auto& engine : engines) {
        policy::engine_view view;
        view.id = engine->info.instance_id();
        view.in_flight = engine->streams;
        view.limit = engine->streams + engines_.free_places(*engine, now);
        view.version = engine->version_of(progress.header().model);
        view.usable =
            now >= engine->back_off_until && !engines_.is_loading(*engine, progress.header().model, now);
        views.push_back(std::move(view));
    }
    // Load hardly slows an engine down, so the fast engines are filled first.
    auto fast = views;
    const auto slow = slow_gap_of(engines);
    for (std::size_t index = 0; index < engines.size(); ++index) {
        fast[index].usable = fast[index].usable && (slow <= 0 || engines[index]->mean_gap_ms < slow);
    }
    for (const auto index : progress.order()) {
        auto& entry = progress.items()[index];
        if (entry.state != work_state::waiting || entry.not_before > now) {
            continue;
        }
        policy::sample_view sample;
        sample.prefix_hash = prompt_hash(entry.item);
        sample.min_version = progress.header().min_version;
        sample.avoid = entry.avoid;
        auto chosen = policy::place_sample(fast, sample);
        if (!chosen) {
            chosen = policy::place_sample(views, sample);
        }
        if (!chosen) {
            if (entry.avoid.empty()) {
                return false;
            }
            entry.avoid.clear();
            continue;
        }
        ++fast[*chosen].in_flight;
        ++views[*chosen].in_flight;
        ++engines[*chosen]->streams;
        progress.start(index);
        net::start(loop_, run_item(batch, index, engines[*chosen]));
    }
    return true;
}

// Guards against a long item on an engine several times slower than the rest, which could take longer than
// its step may. Moves runs only while no item is waiting, so that faster engines have free capacity.
void batch_runner::move_stragglers(batch_run& batch)
{
    if (batch.item_runs.empty() || has_waiting_items()) {
        return;
    }
    const auto engines = targets_.of_service(batch.progress.header().service);
    const auto slow_from = slow_gap_of(engines);
    if (slow_from <= 0) {
        return;
    }
    const auto now = steady::now();
    for (const auto& entry : batch.item_runs) {
        const auto& run = entry.second;
        const bool slow = run->engine->mean_gap_ms >= slow_from;
        if (!slow || !run->connection || now - run->began < min_run_time) {
            continue;
        }
        const policy::run_view view{batch.progress.length_of(entry.first), run->engine->mean_gap_ms,
                                    batch.due};
        if (!policy::may_miss_due_time(view, now)) {
            continue;
        }
        const bool better = std::any_of(engines.begin(), engines.end(), [&](const target_ref& engine) {
            return engine != run->engine && engine->streams < engine->info.slots &&
                   now >= engine->back_off_until && engine->mean_gap_ms > 0 &&
                   engine->mean_gap_ms < slow_from &&
                   engine->version_of(batch.progress.header().model) >= batch.progress.header().min_version;
        });
        if (better) {
            run->connection->close();
            return;
        }
    }
}

} // namespace vanillagauge::gateway
