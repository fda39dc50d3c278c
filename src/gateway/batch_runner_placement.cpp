// Chooses the engines of the items to start, and the runs to move to faster engines.
#include "gateway/internal/batch_run.hpp"
#include "observe/log.hpp"
#include "policy/run_move.hpp"

#include <algorithm>

namespace vanillagauge::gateway {
namespace {

/// Minimum age of a run that is moved off a slow engine. A move keeps the text and costs a few milliseconds
/// to process the prompt again; younger runs are not worth it.
constexpr milliseconds min_run_time{600};

/// Duration of a load of weights. An engine pauses its streams meanwhile, and how much of the load is left is
/// not known here.
constexpr milliseconds load_time{900};

std::uint64_t prompt_hash(const batch_item& item)
{
    return hash64(item.group.empty() ? item.id : item.group);
}

/// Zero where nothing is known; at least one event, since the end of the text is one.
double events_or_zero(const std::optional<double>& events)
{
    return events ? std::max(1.0, *events) : 0;
}

policy::finish_item waiting_item(const batch_progress& progress, std::size_t index, policy::group_need need)
{
    const auto& entry = progress.items()[index];
    const auto length = progress.length_of(index);
    policy::finish_item item;
    item.prefix_hash = prompt_hash(entry.item);
    item.need = need;
    item.events_left = events_or_zero(policy::expected_events_left(length));
    item.likely_events_left = events_or_zero(policy::likely_events_left(length));
    item.prompt_tokens = std::max(0.0, static_cast<double>(entry.item.tokens) - entry.item.max_output);
    item.avoid = entry.avoid;
    return item;
}

/// Whether the item still has to run or runs; not so once only its score or its publication is missing.
bool is_generating(const item_progress& entry)
{
    return entry.state == work_state::waiting || entry.state == work_state::running;
}

/// The runs of a batch, and which of its groups the step needs.
struct step_runs {
    std::vector<std::size_t> items; ///< by run: the item's index
    std::vector<policy::run_view> runs;
    std::vector<policy::group_need> needs; ///< by group
    policy::fractional_ms horizon{0};      ///< until the last needed run ends
};

} // namespace

std::vector<policy::finish_engine> batch_runner::engines_for(const batch_header& header,
                                                             const std::vector<target_ref>& engines,
                                                             time_point now) const
{
    std::vector<policy::finish_engine> views;
    std::map<const target*, std::size_t> index_of;
    for (const auto& engine : engines) {
        policy::finish_engine view;
        view.id = engine->info.instance_id();
        view.free_places = engines_.free_places(*engine, now);
        view.streams = std::max(engine->streams, engine->info.slots - view.free_places);
        view.gap = policy::fractional_ms{engine->mean_gap_ms};
        view.gap_age = now - engine->gap_measured_at;
        view.pause = engines_.is_loading(*engine, header.model, now) ? load_time : duration{0};
        view.version = engines_.version_of(*engine, header.model, now);
        view.usable = now >= engine->back_off_until;
        index_of[engine.get()] = views.size();
        views.push_back(std::move(view));
    }
    const auto gaps = policy::known_gaps(views);
    std::vector<double> own_left(views.size(), 0);
    for (const auto& [id, batch] : active_) {
        if (!batch) {
            continue;
        }
        for (const auto& [index, run] : batch->item_runs) {
            const auto found = index_of.find(run->engine.get());
            const auto left = policy::expected_events_left(batch->progress.length_of(index));
            if (found != index_of.end() && left) {
                own_left[found->second] += *left;
                views[found->second].run_ends.push_back(
                    std::chrono::duration_cast<duration>(*left * gaps[found->second]));
            }
        }
    }
    // Of the other gateways' streams only the sum of their events is known; each is taken as the mean.
    for (std::size_t index = 0; index < views.size(); ++index) {
        const int elsewhere = views[index].streams - engines[index]->streams;
        const double left = engines_.events_left(*engines[index], now) - own_left[index];
        if (elsewhere > 0 && left > 0) {
            const auto mean = std::chrono::duration_cast<duration>(left / elsewhere * gaps[index]);
            views[index].run_ends.insert(views[index].run_ends.end(), static_cast<std::size_t>(elsewhere),
                                         mean);
        }
    }
    return views;
}

// A group that an earlier step left incomplete is submitted again under the same ids. A gateway that took the
// batch over may not know the earlier one; the group is then placed as any other.
void batch_runner::mark_resubmitted_groups(batch_run& batch)
{
    if (batch.compared_with_earlier) {
        return;
    }
    batch.compared_with_earlier = true;
    const auto compare = [&](const batch_run_ref& other) {
        const auto& header = batch.progress.header();
        const auto& earlier = other->progress.header();
        if (earlier.model == header.model && earlier.service == header.service &&
            earlier.step < header.step) {
            batch.progress.mark_resubmitted(other->progress);
        }
    };
    for (const auto& [id, other] : active_) {
        if (other) {
            compare(other);
        }
    }
    std::for_each(recent_.begin(), recent_.end(), compare);
}

namespace {

/// `item_runs`: by item index, with their engine and start.
template <class Runs>
step_runs runs_of(const batch_progress& progress, const Runs& item_runs,
                  const std::vector<target_ref>& engines, const std::vector<policy::finish_engine>& views,
                  duration due_in, time_point now)
{
    step_runs found;
    const auto gaps = policy::known_gaps(views);
    std::map<const target*, std::size_t> index_of;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        index_of[engines[index].get()] = index;
    }
    std::vector<policy::group_view> groups(progress.groups());
    for (std::size_t group = 0; group < groups.size(); ++group) {
        groups[group].complete = progress.is_group_complete(group);
        groups[group].from_earlier_batch = progress.is_resubmitted(group);
        groups[group].ends_in = duration{0};
    }
    for (std::size_t index = 0; index < progress.items().size(); ++index) {
        const auto& entry = progress.items()[index];
        if (!is_generating(entry)) {
            continue;
        }
        auto& ends_in = groups[entry.group].ends_in;
        const auto run = item_runs.find(index);
        const auto left = policy::likely_events_left(progress.length_of(index));
        const auto engine =
            run == item_runs.end() ? index_of.end() : index_of.find(run->second->engine.get());
        if (engine == index_of.end()) {
            ends_in.reset();
            continue;
        }
        const bool movable =
            run->second->connection && !run->second->moved && now - run->second->began >= min_run_time;
        const policy::run_view view{engine->second, events_or_zero(left), movable};
        found.items.push_back(index);
        found.runs.push_back(view);
        if (!left) {
            ends_in.reset();
        }
        if (ends_in) {
            const auto end = std::chrono::duration_cast<duration>(policy::run_end(views, gaps, view));
            ends_in = std::max(*ends_in, end);
        }
    }
    found.needs = policy::needed_groups(groups, progress.header().wanted_groups, due_in);
    std::size_t kept = 0;
    for (std::size_t run = 0; run < found.runs.size(); ++run) {
        if (found.needs[progress.items()[found.items[run]].group] == policy::group_need::spare) {
            continue;
        }
        found.items[kept] = found.items[run];
        found.runs[kept] = found.runs[run];
        found.horizon = std::max(found.horizon, policy::run_end(views, gaps, found.runs[kept]));
        ++kept;
    }
    found.items.resize(kept);
    found.runs.resize(kept);
    return found;
}

} // namespace

bool batch_runner::place_items_of(const batch_run_ref& batch, const std::vector<target_ref>& engines)
{
    const auto now = steady::now();
    auto& progress = batch->progress;
    std::vector<std::size_t> waiting;
    for (std::size_t index = 0; index < progress.items().size(); ++index) {
        const auto& entry = progress.items()[index];
        if (entry.state == work_state::waiting && entry.not_before <= now) {
            waiting.push_back(index);
        }
    }
    if (waiting.empty()) {
        return true;
    }
    mark_resubmitted_groups(*batch);
    const auto views = engines_for(progress.header(), engines, now);
    const auto running = runs_of(progress, batch->item_runs, engines, views, batch->due - now, now);
    policy::finish_step step;
    step.min_version = progress.header().min_version;
    step.horizon = std::chrono::duration_cast<duration>(running.horizon);
    for (const auto index : waiting) {
        step.items.push_back(waiting_item(progress, index, running.needs[progress.items()[index].group]));
    }
    const auto plan = policy::plan_starts(views, step);
    for (const auto& start : plan.starts) {
        const auto index = waiting[start.item];
        // Without a length the expected end is an assumption, which would mislead a reader of the log.
        progress.items()[index].expected_run = step.items[start.item].events_left > 0
                                                   ? std::chrono::duration_cast<milliseconds>(start.ends_in)
                                                   : milliseconds{0};
        ++engines[start.engine]->streams;
        progress.start(index);
        net::start(loop_, run_item(batch, index, engines[start.engine]));
    }
    counts_.add("items_waiting_for_faster_engine_total", static_cast<std::int64_t>(plan.waiting_for_faster));
    return plan.without_place == 0;
}

// Guards against a long item on an engine several times slower than the rest, which could take longer than
// its step may. One run at a time: its item is placed before the next is considered.
void batch_runner::move_stragglers(batch_run& batch)
{
    if (batch.item_runs.empty()) {
        return;
    }
    const auto now = steady::now();
    const auto& header = batch.progress.header();
    const auto engines = targets_.of_service(header.service);
    const auto views = engines_for(header, engines, now);
    const auto needed = runs_of(batch.progress, batch.item_runs, engines, views, batch.due - now, now);
    const auto chosen = policy::choose_move(views, header.min_version, needed.runs);
    if (!chosen) {
        return;
    }
    const auto index = needed.items[*chosen];
    const auto& run = batch.item_runs.at(index);
    observe::log(observe::log_level::info, "item_moved",
                 {{"request", batch.progress.items()[index].item.id},
                  {"batch", header.id},
                  {"replica", run->engine->info.instance_id()},
                  {"events_left", static_cast<std::int64_t>(needed.runs[*chosen].events_left)},
                  {"gap_ms", static_cast<std::int64_t>(run->engine->mean_gap_ms)}});
    counts_.add("items_moved_total");
    run->moved = true;
    run->connection->close();
}

} // namespace vanillagauge::gateway
