// The order in which batches place their items.
#include "gateway/internal/batch_run.hpp"

#include <algorithm>

namespace vanillagauge::gateway {

// Earliest deadline first: a trainer is idle until its batch is complete.
void batch_runner::place_items()
{
    std::vector<batch_run_ref> batches;
    for (const auto& [id, batch] : active_) {
        if (batch && !batch->ended) {
            batches.push_back(batch);
        }
    }
    std::sort(batches.begin(), batches.end(), [](const batch_run_ref& left, const batch_run_ref& right) {
        const auto& a = left->progress.header();
        const auto& b = right->progress.header();
        return a.accepted + a.result_time < b.accepted + b.result_time;
    });
    for (const auto& batch : batches) {
        const auto engines = targets_.of_service(batch->progress.header().service);
        place_items_of(batch, engines);
    }
}

} // namespace vanillagauge::gateway
