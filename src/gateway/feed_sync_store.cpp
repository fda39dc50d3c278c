// Listings and watches of the store.
#include "gateway/feed_sync.hpp"
#include "observe/log.hpp"
#include "policy/copy_age.hpp"
#include "policy/feed_pause.hpp"

#include <algorithm>
#include <utility>

namespace vanillagauge::gateway {
namespace {

/// Bounds of the random delay between attempts while the store fails; each attempt costs a call.
constexpr milliseconds min_retry_delay{250};
constexpr milliseconds max_retry_delay{700};

/// Between two looks at whether this gateway is to watch.
constexpr milliseconds idle_delay{100};

/// A call to the store has ended after this time even if the store is silent.
constexpr milliseconds max_call_time{2000};

/// Between two listings for changes that could not be read: each costs a call, and another writer may go on
/// making such changes.
constexpr milliseconds relist_interval{2000};

/// A timer that is later than this was held up with its process.
constexpr milliseconds timer_delay{250};

/// Whether a call ended so late that this process must have been held up. Its answer may be here unread, so
/// its failure says nothing about the store.
bool was_held_up(time_point requested_at, milliseconds max_time)
{
    return feed::now() - requested_at > max_time + timer_delay;
}

/// How old a copy may become while a watch is pending.
duration max_age_while_pending(policy::feed_pace pace)
{
    return pace == policy::feed_pace::steady ? policy::max_pending_age : policy::max_served_frequent_age;
}

} // namespace

duration feed_sync::retry_delay()
{
    std::uniform_int_distribution<std::int64_t> delay(min_retry_delay.count(), max_retry_delay.count());
    return milliseconds{delay(random_)};
}

// After a failure only the first feed retries, because every attempt costs a call even if the store refuses
// it.
net::task<void> feed_sync::sync_from_store(std::size_t index)
{
    auto& entry = feeds_[index];
    while (true) {
        if (!should_watch(entry)) {
            entry.store_reachable = false;
            entry.listed = false;
            entry.asked_since.reset();
            if (!is_needed(entry) && entry.content->synced()) {
                entry.content->reset();
            }
            co_await net::sleep_for(loop_, idle_delay);
            continue;
        }
        if (store_down_ && index != 0) {
            entry.store_reachable = false;
            co_await net::sleep_for(loop_, idle_delay);
            continue;
        }
        const auto as_of = entry.content->as_of();
        const auto began = feed::now();
        const bool lists = needs_listing(entry);
        const bool served = lists ? co_await list(entry) : co_await watch(entry);
        entry.store_reachable = served;
        fleet_.set_watch_failing(!served);
        if (!served) {
            co_await net::sleep_for(loop_, retry_delay());
        }
        else if (!lists || entry.content->changed_since(as_of)) {
            const bool changed = entry.content->changed_since(as_of);
            co_await net::sleep_for(loop_, policy::pause_after_watch(changed, feed::now() - began, random_));
        }
    }
}

// After a pause of this process a watch would confirm the copy by its end only, too late for the callers that
// wait.
bool feed_sync::needs_listing(const synced_feed& entry) const
{
    const bool relist = entry.relist_at && feed::now() >= *entry.relist_at;
    return !entry.listed || relist || age_of(entry) > max_age_while_pending(entry.pace);
}

void feed_sync::note_left_out(synced_feed& entry, std::size_t objects)
{
    if (std::exchange(entry.left_out, objects) == objects || objects == 0) {
        return;
    }
    entry.content->note_left_out(objects);
    observe::log(observe::log_level::warning, "entries_left_out",
                 {{"kind", entry.content->kind()}, {"entries", static_cast<std::int64_t>(objects)}});
}

void feed_sync::list_for_left_out(synced_feed& entry, std::size_t changes)
{
    if (changes == 0) {
        return;
    }
    entry.relist_at = std::max(feed::now(), entry.relisted_at + relist_interval);
    entry.content->note_left_out(changes);
    observe::log(observe::log_level::warning, "changes_left_out",
                 {{"kind", entry.content->kind()}, {"changes", static_cast<std::int64_t>(changes)}});
}

net::task<bool> feed_sync::list(synced_feed& entry)
{
    std::map<std::string, stored_object> listed;
    std::uint64_t as_of = 0;
    std::string after;
    std::size_t left_out = 0;
    const auto requested_at = feed::now();
    entry.asked_since = entry.asked_since.value_or(requested_at);
    while (true) {
        const auto page_requested_at = feed::now();
        auto page = co_await direct_.list(entry.content->kind(), after);
        if (!ok(page) && was_held_up(page_requested_at, max_call_time)) {
            entry.asked_since.reset();
            co_return false;
        }
        if (!ok(page)) {
            record_failure(failure(page));
            co_return false;
        }
        for (auto& object : value(page).objects) {
            after = object.name;
            listed[after] = std::move(object);
        }
        left_out += value(page).left_out;
        // Changes made while the pages are read are returned by the watch, which starts at the first page's
        // revision.
        as_of = as_of == 0 ? value(page).as_of : as_of;
        if (!value(page).more) {
            break;
        }
    }
    entry.content->apply_listing(std::move(listed), as_of, requested_at);
    note_left_out(entry, left_out);
    if (std::exchange(entry.relist_at, std::nullopt)) {
        entry.relisted_at = requested_at;
    }
    entry.listed = true;
    entry.asked_since.reset();
    store_down_ = false;
    set_source("store");
    changed_.notify();
    co_return true;
}

net::task<void> feed_sync::run_watch(std::string kind, std::uint64_t since, milliseconds wait,
                                     std::shared_ptr<watch_call> call)
{
    call->answer = co_await direct_.watch(std::move(kind), since, wait);
    watch_ended_.notify();
}

// The answer to a watch may be lost, so none is awaited longer than its wait, and none of a copy that has
// become old meanwhile.
net::task<bool> feed_sync::watch(synced_feed& entry)
{
    const auto requested_at = feed::now();
    const auto since = entry.content->as_of();
    const auto wait = plan().watch_time(entry.pace);
    const auto max_age = max_age_while_pending(entry.pace);
    const auto call = std::make_shared<watch_call>();
    const auto generation = watch_generation_;
    net::start(loop_, run_watch(entry.content->kind(), since, wait, call));
    const auto until = requested_at + wait + policy::watch_margin;
    while (!call->answer && generation == watch_generation_) {
        const auto now = feed::now();
        const auto fresh_until = std::max(entry.content->confirmed_at(), requested_at) + max_age;
        const auto next = std::min({until, fresh_until, entry.relist_at.value_or(until)});
        if (now >= next) {
            break;
        }
        co_await watch_ended_.wait_until(steady::now() + (next - now));
    }
    if (!call->answer && generation != watch_generation_) {
        entry.listed = false;
        co_return false;
    }
    if (!call->answer && entry.relist_at && feed::now() >= *entry.relist_at) {
        co_return co_await list(entry);
    }
    if (!call->answer) {
        co_return co_await replace_watch(entry, requested_at, wait);
    }
    auto& seen = *call->answer;
    if (ok(seen)) {
        // The store holds a watch for its whole wait unless there is a change, so an answer without one that
        // took as long says that there was none until then.
        const bool changed = !value(seen).events.empty() || value(seen).left_out > 0;
        const bool held = !changed && feed::now() - requested_at >= wait;
        list_for_left_out(entry, value(seen).left_out);
        entry.content->apply_changes(std::move(value(seen)), held ? requested_at + wait : requested_at);
        store_down_ = false;
        changed_.notify();
        co_return true;
    }
    entry.listed = false;
    if (failure(seen).code == error_code::stale_cursor) {
        observe::log(observe::log_level::warning, "feed_history_gone",
                     {{"kind", entry.content->kind()}, {"as_of", static_cast<std::int64_t>(since)}});
    }
    // A store that dropped its history ends watches but keeps serving. List at once: a delay would hold back
    // the changes missed in between from every gateway.
    co_return co_await list(entry);
}

// A process that was held up itself may have the answer unread, which says nothing about the store.
net::task<bool> feed_sync::replace_watch(synced_feed& entry, time_point requested_at, milliseconds wait)
{
    entry.listed = false;
    const auto max_time = wait + policy::watch_margin;
    if (!was_held_up(requested_at, max_time)) {
        if (feed::now() >= requested_at + max_time) {
            record_failure(
                {error_code::unavailable, run_state::not_run, "the store does not answer a watch"});
        }
        // Withdrawn once the listing succeeds. A silent store takes a second to fail it, too long for the
        // gateways that rely on this one.
        fleet_.set_watch_failing(true);
    }
    co_return co_await list(entry);
}

} // namespace vanillagauge::gateway
