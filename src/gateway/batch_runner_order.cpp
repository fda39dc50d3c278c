// The order in which batches place their items.
#include "gateway/internal/batch_run.hpp"
#include "policy/batch_order.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

bool has_started(const batch_progress& progress)
{
    const auto& items = progress.items();
    return std::any_of(items.begin(), items.end(), [](const item_progress& entry) {
        return entry.runs > 0 || entry.state != work_state::waiting;
    });
}

/// Between two placements without a change, which an engine's pause or an item's may have ended.
constexpr milliseconds placement_pause{5};

} // namespace

// Guards against batches that each place the items of all: the work would grow with the square of their
// number, until nothing else is served.
void batch_runner::place_when_due()
{
    const auto now = steady::now();
    if (!placement_wanted_ && now - placed_at_ < placement_pause) {
        return;
    }
    placement_wanted_ = false;
    placed_at_ = now;
    place_items();
}

void batch_runner::place_items()
{
    const auto now = std::chrono::system_clock::now();
    std::vector<batch_run_ref> batches;
    std::vector<policy::queued_batch> queued;
    for (const auto& [id, batch] : active_) {
        if (batch && !batch->ended) {
            const auto& header = batch->progress.header();
            batches.push_back(batch);
            queued.push_back({header.model, header.step, trainers_.slack(header.model), now - header.accepted,
                              header.result_time, has_started(batch->progress)});
        }
    }
    for (const auto index : policy::batch_order(queued)) {
        const auto& batch = batches[index];
        const auto engines = targets_.of_service(batch->progress.header().service);
        place_items_of(batch, engines);
    }
}

} // namespace vanillagauge::gateway
