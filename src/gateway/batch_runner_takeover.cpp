// Takes batches over: claims them in the store and reads back what their earlier owners left.
#include "gateway/batch_store.hpp"
#include "gateway/internal/batch_run.hpp"
#include "observe/log.hpp"

namespace vanillagauge::gateway {
namespace {

/// Longer than the feed takes to show another gateway's claim.
constexpr milliseconds claim_retry_delay{1000};

} // namespace

net::task<bool> batch_runner::load_results(batch_run& batch)
{
    const auto page = co_await read_segments(store_, batch.progress.header().id, {});
    if (!ok(page)) {
        co_return false;
    }
    for (const auto& segment : value(page).segments) {
        batch.progress.apply_segment(segment);
    }
    co_return true;
}

// Restores the texts saved by an earlier owner. Items without saved text start over.
net::task<void> batch_runner::load_texts(batch_run_ref batch)
{
    const auto saved = co_await batch->texts.load();
    std::size_t events = 0;
    if (ok(saved)) {
        for (const auto& text : value(saved)) {
            batch->progress.restore_text(text);
            events += text.events;
        }
    }
    observe::log(observe::log_level::info, "texts_taken_over",
                 {{"batch", batch->progress.header().id},
                  {"events", static_cast<std::int64_t>(events)},
                  {"outcome", ok(saved) ? std::string("read") : describe(failure(saved))}});
}

// Texts taken over may be complete but for their scores.
void batch_runner::resume_scoring(const batch_run_ref& batch)
{
    for (std::size_t index = 0; index < batch->progress.items().size(); ++index) {
        if (batch->progress.items()[index].state == work_state::scoring) {
            net::start(loop_, score_item(batch, index));
        }
    }
}

// Guards against several gateways that run one batch at once: while VMs are restarted in turn the first by
// rank changes every few seconds, and each would take the batch over beside those that run it already. Their
// runs fill the engines, which then refuse everybody.
net::task<bool> batch_runner::claim(batch_header& header)
{
    while (true) {
        const auto stored = co_await store_.read(batch_kind, header.id);
        if (ok(stored)) {
            auto current = header_from_json(header.id, value(stored).value, value(stored).status);
            if (!ok(current) || value(current).ended || !owned_here(value(current))) {
                co_return false;
            }
            header = std::move(value(current));
            header.owner_vm = fleet_.self();
            header.owner_incarnation = fleet_.incarnation();
            const auto written =
                co_await store_.replace(batch_kind, header.id, to_json(header), value(stored).revision);
            if (ok(written)) {
                co_return true;
            }
        }
        co_await net::sleep_for(loop_, store_retry_delay);
        if (has_ended(header.id)) {
            co_return false;
        }
    }
}

// Guards against an owner that runs out of memory, and all its batches with it, as other gateways accept
// batches for it.
net::task<item_room> batch_runner::wait_for_room(std::string batch, std::size_t bytes)
{
    auto room = room_for(bytes);
    if (!room) {
        counts_.add("batches_waited_for_memory_total");
        observe::log(observe::log_level::warning, "batch_waits_for_memory",
                     {{"batch", batch}, {"bytes", static_cast<std::int64_t>(bytes)}});
    }
    while (!room && !has_ended(batch)) {
        co_await net::sleep_for(loop_, store_retry_delay);
        room = room_for(bytes);
    }
    co_return room;
}

net::task<held_items> batch_runner::load_items(batch_header header, held_items cached)
{
    if (cached.room) {
        co_return std::move(cached);
    }
    held_items held;
    held.room = co_await wait_for_room(header.id, header.parts * max_part_bytes);
    while (held.room) {
        auto items = co_await read_items(store_, header);
        if (ok(items)) {
            held.items = std::move(value(items));
            held.room->shrink_to(bytes_of(held.items));
            break;
        }
        observe::log(observe::log_level::warning, "batch_items_unread",
                     {{"batch", header.id}, {"why", describe(failure(items))}});
        co_await net::sleep_for(loop_, store_retry_delay);
        if (has_ended(header.id)) {
            held.room.reset();
        }
    }
    co_return held;
}

net::task<void> batch_runner::load_and_run(batch_header header)
{
    auto cached = take_cached(header.id);
    const bool fresh = cached.room != nullptr;
    const bool accepted_here =
        header.owner_vm == fleet_.self() && header.owner_incarnation == fleet_.incarnation();
    if (!accepted_here && !co_await claim(header)) {
        // Its feed shows the new owner soon; until then this gateway must not try again at once.
        co_await net::sleep_for(loop_, claim_retry_delay);
        active_.erase(header.id);
        co_return;
    }
    auto held = co_await load_items(header, std::move(cached));
    if (!held.room) {
        active_.erase(header.id);
        co_return;
    }
    const auto batch = std::make_shared<batch_run>(loop_, store_, header, std::move(held));
    bool loaded = fresh;
    while (!loaded && !has_ended(header.id)) {
        loaded = co_await load_results(*batch);
        if (!loaded) {
            co_await net::sleep_for(loop_, store_retry_delay);
        }
    }
    if (!fresh && !has_ended(header.id)) {
        co_await load_texts(batch);
    }
    // Asked after the last wait: `update_header` ends only a batch that is active, so one ended during the
    // takeover would run on for nobody.
    if (has_ended(header.id)) {
        active_.erase(header.id);
        co_return;
    }
    active_[header.id] = batch;
    resume_scoring(batch);
    resume_texts(batch);
    co_await run_until_done(batch);
}

} // namespace vanillagauge::gateway
