// Serves the published results of the batches that run here.
#include "gateway/internal/batch_run.hpp"
#include "observe/log.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

/// Within this time of a confirmation the end of the results needs none. A position that has been read must
/// be there for every reader a second later.
constexpr milliseconds confirmation_time{500};

error not_known(std::string why)
{
    return {error_code::unavailable, run_state::not_run, std::move(why)};
}

} // namespace

batch_runner::batch_run_ref batch_runner::find_run(const std::string& id) const
{
    if (const auto found = active_.find(id); found != active_.end() && found->second) {
        return found->second;
    }
    const auto found = std::find_if(recent_.begin(), recent_.end(), [&id](const batch_run_ref& batch) {
        return batch->progress.header().id == id;
    });
    return found == recent_.end() ? nullptr : *found;
}

// Guards against readers that miss what another owner has published: a gateway that was frozen or cut off
// still runs a batch that its peers have taken over. Segments never change, so results from memory are right
// at any time, but that they are the last ones holds only if the store had no further segment a moment ago.
net::task<bool> batch_runner::confirm_end(batch_run_ref batch)
{
    const auto requested_at = time_since_boot();
    if (batch->end_confirmed_at && requested_at - *batch->end_confirmed_at < confirmation_time) {
        co_return true;
    }
    auto& progress = batch->progress;
    const auto end = progress.published();
    const auto name = segment_name(end);
    const auto stored = co_await store_.read(results_kind(progress.header().id), name);
    if (!ok(stored)) {
        const bool confirmed = failure(stored).code == error_code::not_found;
        if (confirmed && progress.published() == end) {
            batch->end_confirmed_at = requested_at;
        }
        co_return confirmed;
    }
    const auto segment = segment_from_json(name, value(stored).value);
    if (!ok(segment)) {
        co_return false;
    }
    progress.apply_segment(value(segment));
    wake(*batch);
    observe::log(observe::log_level::info, "segment_of_other_owner",
                 {{"batch", progress.header().id}, {"first", static_cast<std::int64_t>(end)}});
    co_return true;
}

net::task_of<std::vector<item_result>> batch_runner::read_results(std::string id, std::size_t first,
                                                                  time_point until)
{
    const auto batch = find_run(id);
    if (!batch || !batch->stored) {
        co_return not_known("the batch does not run here");
    }
    auto& progress = batch->progress;
    while (!batch->ended && progress.published() <= first && steady::now() < until) {
        co_await batch->changed.wait_until(until);
    }
    while (progress.published() <= first && !progress.all_published()) {
        const auto end = progress.published();
        if (!co_await confirm_end(batch)) {
            co_return not_known("the end of the results is not confirmed");
        }
        if (progress.published() == end) {
            break;
        }
    }
    const auto& results = progress.results();
    const auto from = std::min(first, results.size());
    co_return std::vector<item_result>(results.begin() + static_cast<std::ptrdiff_t>(from), results.end());
}

std::optional<std::string> batch_runner::find_body(const std::string& batch, const std::string& item) const
{
    const auto run = find_run(batch);
    if (!run) {
        return std::nullopt;
    }
    const auto& items = run->progress.items();
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&item](const item_progress& entry) { return entry.item.id == item; });
    return found == items.end() ? std::nullopt : std::optional(found->item.body_base64);
}

} // namespace vanillagauge::gateway
