#include "gateway/batch_runner.hpp"

#include "gateway/batch_store.hpp"
#include "gateway/internal/batch_run.hpp"
#include "observe/log.hpp"
#include "policy/publish_plan.hpp"
#include "json/json.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace vanillagauge::gateway {
namespace {

/// Interval of the checks for expired items, slow runs and results to publish.
constexpr milliseconds poll_interval{50};

/// Members discover each other within this time. A gateway that has just started knows no others and would
/// claim every batch: after a restart of the whole fleet, each gateway would run all of them.
constexpr milliseconds discovery_time{1500};

/// Ended batches whose results are kept for readers, a hundred kilobytes each.
constexpr std::size_t max_recent = 12;

/// Lengths come from clients: a longer time says no more.
constexpr double max_left_ms = 1e9;

/// Bounds the work lost when an owner fails, apart from the duration of the write.
constexpr milliseconds text_save_interval{1500};

} // namespace

// A group ends with its last item. An item that waits has no engine yet, so nothing is known of its group.
std::optional<time_point> batch_runner::batch_run::wanted_by(time_point now) const
{
    const auto& header = progress.header();
    if (progress.complete_groups() >= header.wanted_groups) {
        return std::nullopt;
    }
    std::vector<double> ends_in_ms(progress.groups(), 0);
    std::vector<bool> open(progress.groups(), false);
    for (std::size_t index = 0; index < progress.items().size(); ++index) {
        const auto& entry = progress.items()[index];
        if (entry.state == work_state::finished || entry.state == work_state::published) {
            continue;
        }
        open[entry.group] = true;
        const auto run = item_runs.find(index);
        const auto left = policy::likely_events_left(progress.length_of(index));
        const bool known = run != item_runs.end() && run->second->received_event && left;
        const auto in_ms =
            known ? *left * run->second->engine->mean_gap_ms : std::numeric_limits<double>::infinity();
        ends_in_ms[entry.group] = std::max(ends_in_ms[entry.group], in_ms);
    }
    std::vector<double> ends;
    for (std::size_t group = 0; group < open.size(); ++group) {
        if (open[group]) {
            ends.push_back(ends_in_ms[group]);
        }
    }
    const auto missing = header.wanted_groups - progress.complete_groups();
    if (missing > ends.size()) {
        return std::nullopt;
    }
    const auto last = ends.begin() + static_cast<std::ptrdiff_t>(missing - 1);
    std::nth_element(ends.begin(), last, ends.end());
    if (!std::isfinite(*last)) {
        return std::nullopt;
    }
    return now + milliseconds{static_cast<std::int64_t>(std::min(*last, max_left_ms))};
}

batch_runner::batch_runner(net::loop& loop, object_store& store, const fleet_view& fleet,
                           const target_registry& targets, engine_view& engines,
                           const target_protocol& protocol, item_scorer& scorer, observe::metrics& counts,
                           const trainer_schedules& trainers)
    : loop_(loop), store_(store), fleet_(fleet), targets_(targets), engines_(engines), protocol_(protocol),
      scorer_(scorer), counts_(counts), trainers_(trainers), started_(steady::now())
{
}

// The results of an ended batch can be read back from the store.
item_room batch_runner::room_for(std::size_t bytes)
{
    auto room = std::make_unique<net::byte_reservation>(item_budget_);
    while (!room->grow_or_be_first(bytes)) {
        if (recent_.empty()) {
            return nullptr;
        }
        recent_.pop_front();
    }
    return room;
}

void batch_runner::cache_items(const std::string& batch, held_items items)
{
    cached_items_[batch] = std::move(items);
}

held_items batch_runner::take_cached(const std::string& batch)
{
    auto found = cached_items_.extract(batch);
    return found ? std::move(found.mapped()) : held_items{};
}

void batch_runner::drop_unused_items(const std::string& batch)
{
    if (!runs(batch)) {
        cached_items_.erase(batch);
    }
}

const batch_header* batch_runner::find(const std::string& batch) const
{
    const auto found = headers_.find(batch);
    return found == headers_.end() ? nullptr : &found->second;
}

// The gateway that accepted a batch runs it. If that process has failed, the members choose its successor by
// rank, the same one wherever their views agree. Two owners waste work but cannot publish an item twice.
bool batch_runner::owned_here(const batch_header& header) const
{
    if (fleet_.is_alive(header.owner_vm, header.owner_incarnation)) {
        return header.owner_vm == fleet_.self();
    }
    if (!view_complete_ && steady::now() - started_ < discovery_time) {
        return false;
    }
    return fleet_.owner_of(header.owner_vm, header.owner_incarnation, owner_key(header)) == fleet_.self();
}

bool batch_runner::has_ended(const std::string& batch) const
{
    const auto* known = find(batch);
    return known != nullptr && known->ended;
}

void batch_runner::update_header(const batch_header& header)
{
    headers_[header.id] = header;
    const auto found = active_.find(header.id);
    if (header.ended) {
        cached_items_.erase(header.id);
        finished_.erase(header.id);
        if (found != active_.end() && found->second) {
            end(found->second, "ended by the trainer");
        }
        return;
    }
    if (found != active_.end() && found->second && !found->second->stored) {
        confirm_speculative(found->second, header);
    }
    if (!active_.contains(header.id) && !finished_.contains(header.id) && owned_here(header)) {
        start(header);
    }
}

// Guards against a store outage that delays a step by seconds, which its trainer cannot make up. If the batch
// is never stored, only engine time is lost: nothing is published or accepted before it is stored.
void batch_runner::run_speculative(const batch_header& header, held_items items)
{
    if (!starts_batches_ || active_.contains(header.id) || finished_.contains(header.id)) {
        return;
    }
    const auto batch = std::make_shared<batch_run>(loop_, store_, header, std::move(items));
    batch->stored = false;
    active_[header.id] = batch;
    observe::log(observe::log_level::info, "batch_run_ahead",
                 {{"batch", header.id}, {"items", static_cast<std::int64_t>(header.total)}});
    resume_texts(batch);
    net::start(loop_, run_until_done(batch));
}

void batch_runner::confirm_speculative(const batch_run_ref& batch, const batch_header& header)
{
    if (header.owner_vm == fleet_.self() && header.owner_incarnation == fleet_.incarnation()) {
        batch->stored = true;
        wake(*batch);
        return;
    }
    end(batch, "owned by another gateway");
}

void batch_runner::drop_speculative(const std::string& batch)
{
    const auto found = active_.find(batch);
    if (found != active_.end() && found->second && !found->second->stored) {
        const auto held = found->second;
        end(held, "not accepted by the store");
    }
}

void batch_runner::review_ownership()
{
    for (const auto& [id, header] : headers_) {
        if (!header.ended && !finished_.contains(id) && !active_.contains(id) && owned_here(header)) {
            start(header);
        }
    }
}

void batch_runner::start(const batch_header& header)
{
    if (!starts_batches_ || !may_run_more(0)) {
        return;
    }
    active_[header.id] = nullptr;
    observe::log(observe::log_level::info, "batch_taken",
                 {{"batch", header.id},
                  {"step", static_cast<std::int64_t>(header.step)},
                  {"items", static_cast<std::int64_t>(header.total)},
                  {"accepted_by", header.owner_vm},
                  {"least_version", static_cast<std::int64_t>(header.min_version)}});
    net::start(loop_, load_and_run(header));
}

// Continues items that an ended batch left unfinished.
void batch_runner::resume_texts(const batch_run_ref& batch)
{
    const auto resumed = unfinished_texts_.restore(batch->progress);
    if (resumed.empty()) {
        return;
    }
    std::size_t events = 0;
    for (const auto index : resumed) {
        const auto& entry = batch->progress.items()[index];
        events += entry.events;
        if (entry.state == work_state::scoring) {
            net::start(loop_, score_item(batch, index));
        }
    }
    counts_.add("texts_reused_total", static_cast<std::int64_t>(resumed.size()));
    counts_.add("events_reused_total", static_cast<std::int64_t>(events));
    observe::log(observe::log_level::info, "texts_reused",
                 {{"batch", batch->progress.header().id},
                  {"items", static_cast<std::int64_t>(resumed.size())},
                  {"events", static_cast<std::int64_t>(events)}});
}

// Guards against an owner that fails while long items run: without saved texts its successor would generate
// each of them again from the start. With them it loses about the time between two writes.
void batch_runner::save_texts(const batch_run_ref& batch)
{
    const auto now = steady::now();
    const bool due = std::any_of(batch->item_runs.begin(), batch->item_runs.end(), [&](const auto& entry) {
        const auto& run = entry.second;
        return run->received_event && now - std::max(run->began, batch->texts_saved_at) >= text_save_interval;
    });
    if (due && batch->stored && !batch->saving_texts) {
        batch->saving_texts = true;
        net::start(loop_, write_texts(batch));
    }
}

net::task<void> batch_runner::write_texts(batch_run_ref batch)
{
    const auto generated_at = steady::now();
    auto texts = texts_to_save(batch->progress);
    const auto count = static_cast<std::int64_t>(texts.size());
    const auto saved = co_await batch->texts.save(std::move(texts));
    batch->texts_saved_at = generated_at;
    batch->saving_texts = false;
    observe::log(ok(saved) ? observe::log_level::info : observe::log_level::warning, "texts_kept",
                 {{"batch", batch->progress.header().id},
                  {"texts", count},
                  {"outcome", ok(saved) ? std::string("done") : describe(failure(saved))}});
}

net::task<void> batch_runner::run_until_done(batch_run_ref batch)
{
    placement_wanted_ = true;
    while (!batch->ended) {
        place_when_due();
        move_stragglers(*batch);
        expire_items(*batch);
        save_texts(batch);
        const auto now = steady::now();
        const auto& progress = batch->progress;
        if (batch->stored && !batch->publishing && policy::should_publish(batch->publish_state(now), now)) {
            batch->publishing = true;
            batch->last_publish = now;
            net::start(loop_, publish_results(batch));
        }
        if (progress.all_published()) {
            finished_.insert(progress.header().id);
            end(batch, "all results published");
            break;
        }
        co_await batch->changed.wait_until(now + poll_interval);
    }
}

void batch_runner::end(batch_run_ref batch, const char* why)
{
    if (batch->ended) {
        return;
    }
    batch->ended = true;
    batch->cancel_work();
    const auto& progress = batch->progress;
    observe::log(observe::log_level::info, "batch_done",
                 {{"batch", progress.header().id},
                  {"why", std::string(why)},
                  {"listed", static_cast<std::int64_t>(progress.published())},
                  {"items", static_cast<std::int64_t>(progress.header().total)}});
    counts_.add("batches_done_total");
    wake(*batch);
    active_.erase(progress.header().id);
    if (batch->stored) {
        unfinished_texts_.save(progress);
        // The step that submits the items again may be here before the end of this one is.
        std::vector<batch_run_ref> others;
        for (const auto& [id, other] : active_) {
            if (other && other->progress.header().model == progress.header().model) {
                others.push_back(other);
            }
        }
        for (const auto& other : others) {
            resume_texts(other);
        }
        counts_.set("unfinished_text_bytes", static_cast<double>(unfinished_texts_.bytes()));
    }
    recent_.push_back(std::move(batch));
    if (recent_.size() > max_recent) {
        recent_.pop_front();
    }
    notify();
}

void batch_runner::notify()
{
    for (const auto& [id, batch] : active_) {
        if (batch) {
            wake(*batch);
        }
    }
}

void batch_runner::wake(batch_run& batch)
{
    placement_wanted_ = true;
    batch.changed.notify();
}

// Terminates items older than the route allows, so that the trainer does not wait for them for ever.
void batch_runner::expire_items(batch_run& batch)
{
    if (batch.progress.header().max_age.count() <= 0 || std::chrono::system_clock::now() < batch.expires_at) {
        return;
    }
    for (std::size_t index = 0; index < batch.progress.items().size(); ++index) {
        const auto state = batch.progress.items()[index].state;
        if (state != work_state::finished && state != work_state::published) {
            observe::log(
                observe::log_level::warning, "item_given_up",
                {{"request", batch.progress.items()[index].item.id}, {"batch", batch.progress.header().id}});
            batch.progress.terminate(index);
        }
    }
    batch.cancel_work();
}

net::task<void> batch_runner::publish_results(batch_run_ref batch)
{
    auto& progress = batch->progress;
    const auto writer = fleet_.self() + "/" + std::to_string(fleet_.incarnation());
    auto segment = progress.next_segment(writer);
    if (segment) {
        const auto kind = results_kind(progress.header().id);
        const auto name = segment_name(segment->first);
        const auto requested_at = time_since_boot();
        const auto written = co_await store_.create(kind, name, to_json(*segment));
        if (ok(written)) {
            batch->end_confirmed_at = requested_at;
            observe::log(observe::log_level::info, "results_listed",
                         {{"batch", progress.header().id},
                          {"first", static_cast<std::int64_t>(segment->first)},
                          {"results", static_cast<std::int64_t>(segment->results.size())}});
            progress.apply_segment(*segment);
        }
        else if (failure(written).code == error_code::conflict) {
            // Another owner, or an earlier write of this one that timed out, has filled the position.
            const auto existing = parse_json(failure(written).current);
            const auto parsed = segment_from_json(name, existing);
            if (ok(parsed)) {
                progress.apply_segment(value(parsed));
                observe::log(
                    observe::log_level::info, "segment_stood",
                    {{"batch", progress.header().id}, {"first", static_cast<std::int64_t>(segment->first)}});
            }
            else {
                // The batch cannot continue while an undecodable entry holds the position; without the delay
                // its retries would use up this gateway's calls to the store.
                observe::log(observe::log_level::error, "segment_unreadable",
                             {{"batch", progress.header().id}, {"why", describe(failure(parsed))}});
                co_await net::sleep_for(loop_, store_retry_delay);
            }
        }
        else {
            observe::log(observe::log_level::warning, "segment_unwritten",
                         {{"batch", progress.header().id}, {"why", describe(failure(written))}});
            co_await net::sleep_for(loop_, store_retry_delay);
        }
        progress.finish_write();
    }
    batch->publishing = false;
    wake(*batch);
}

} // namespace vanillagauge::gateway
