// Listings, watches and pings of the store.
#include "gateway/feed_sync.hpp"
#include "observe/log.hpp"
#include "policy/copy_age.hpp"

#include <algorithm>
#include <random>

namespace vanillagauge::gateway {
namespace {

/// The store counts a watch as one call, however long it waits.
constexpr milliseconds watch_timeout{20000};

/// Bounds of the random delay between attempts while the store fails; each attempt costs a call.
constexpr milliseconds min_retry_delay{250};
constexpr milliseconds max_retry_delay{700};

/// Between two looks at whether this gateway is to watch.
constexpr milliseconds idle_delay{100};

/// A call to the store has ended after this time even if the store is silent.
constexpr milliseconds max_call_time{2000};

/// A timer that is later than this was held up with its process.
constexpr milliseconds timer_delay{250};

/// Between two pings while watches are sent one after another.
constexpr milliseconds min_ping_interval{50};

/// Per thread: gateways in one process would race on a shared generator.
std::mt19937_64& random()
{
    thread_local std::mt19937_64 shared{std::random_device{}()};
    return shared;
}

/// Whether a call ended so late that this process must have been held up. Its answer may be here unread, so
/// its failure says nothing about the store.
bool was_held_up(time_point requested_at, milliseconds max_time)
{
    return feed::now() - requested_at > max_time + timer_delay;
}

duration retry_delay()
{
    std::uniform_int_distribution<std::int64_t> delay(min_retry_delay.count(), max_retry_delay.count());
    return milliseconds{delay(random())};
}

} // namespace

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
        bool served = false;
        if (entry.listed) {
            served = co_await watch(entry);
        }
        else {
            served = co_await list(entry);
        }
        entry.store_reachable = served;
        fleet_.set_watch_failing(!served);
        co_await net::sleep_for(loop_, served ? duration{policy::coalescing_delay} : retry_delay());
    }
}

net::task<bool> feed_sync::list(synced_feed& entry)
{
    std::map<std::string, stored_object> listed;
    std::uint64_t as_of = 0;
    std::string after;
    const auto requested_at = feed::now();
    entry.asked_since = entry.asked_since.value_or(requested_at);
    while (true) {
        const auto page_requested_at = feed::now();
        const auto page = co_await direct_.list(entry.content->kind(), after);
        if (!ok(page) && was_held_up(page_requested_at, max_call_time)) {
            entry.asked_since.reset();
            co_return false;
        }
        if (!ok(page)) {
            record_failure(failure(page));
            co_return false;
        }
        for (const auto& object : value(page).objects) {
            after = object.name;
            listed[object.name] = object;
        }
        // Changes made while the pages are read are returned by the watch, which starts at the first page's
        // revision.
        as_of = as_of == 0 ? value(page).as_of : as_of;
        if (!value(page).more) {
            break;
        }
    }
    entry.content->apply_listing(std::move(listed), as_of, requested_at);
    entry.listed = true;
    entry.asked_since.reset();
    store_down_ = false;
    set_source("store");
    changed_.notify();
    co_return true;
}

net::task<void> feed_sync::run_watch(std::string kind, std::uint64_t since, std::shared_ptr<watch_call> call)
{
    call->answer = co_await direct_.watch(std::move(kind), since, watch_timeout);
    watch_ended_.notify();
}

net::task<bool> feed_sync::watch(synced_feed& entry)
{
    const auto requested_at = feed::now();
    const auto since = entry.content->as_of();
    const auto call = std::make_shared<watch_call>();
    const auto generation = watch_generation_;
    net::start(loop_, run_watch(entry.content->kind(), since, call));
    entry.watched_since = requested_at;
    watch_sent_.notify();
    const auto until = steady::now() + 2 * watch_timeout;
    while (!call->answer && generation == watch_generation_) {
        co_await watch_ended_.wait_until(until);
    }
    entry.watched_since.reset();
    // Changes since the watch was abandoned may have been missed, so list again.
    if (!call->answer) {
        entry.listed = false;
        co_return false;
    }
    auto& seen = *call->answer;
    if (ok(seen)) {
        entry.content->apply_changes(std::move(value(seen)), requested_at);
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

std::optional<time_point> feed_sync::ping_due() const
{
    std::optional<time_point> due;
    for (const auto& entry : feeds_) {
        if (entry.watched_since) {
            const auto next = std::max(entry.content->confirmed_at() + policy::ping_interval,
                                       *entry.watched_since + policy::hop_allowance);
            due = due ? std::min(*due, next) : next;
        }
    }
    return due;
}

net::task<void> feed_sync::ping_store()
{
    while (true) {
        const auto due = ping_due();
        const auto wait = due ? *due - feed::now() : duration{policy::ping_interval};
        if (!due || wait > duration{0}) {
            co_await watch_sent_.wait_until(steady::now() + wait);
            continue;
        }
        if (-wait > timer_delay) {
            co_await net::sleep_for(loop_, policy::hop_allowance); // answers that wait here are read first
        }
        co_await ping();
        co_await net::sleep_for(loop_, min_ping_interval);
    }
}

// The store answers a pending watch as soon as there is a change. So an answer to a call sent after the watch
// says that there was none until then.
net::task<void> feed_sync::ping()
{
    const auto smallest =
        std::min_element(feeds_.begin(), feeds_.end(), [](const synced_feed& left, const synced_feed& right) {
            return left.content->objects().size() < right.content->objects().size();
        });
    const auto generation = watch_generation_;
    const auto requested_at = feed::now();
    const auto answered = co_await direct_.ping(smallest->content->kind(), policy::ping_timeout);
    if (generation != watch_generation_ ||
        (!ok(answered) && was_held_up(requested_at, policy::ping_timeout))) {
        co_return;
    }
    if (!ok(answered)) {
        abandon_watches(failure(answered));
        co_return;
    }
    for (auto& entry : feeds_) {
        if (entry.watched_since && *entry.watched_since + policy::hop_allowance <= requested_at) {
            entry.content->confirm(requested_at);
        }
    }
}

void feed_sync::abandon_watches(const error& why)
{
    record_failure(why);
    ++watch_generation_;
    for (auto& entry : feeds_) {
        entry.store_reachable = false;
    }
    fleet_.set_watch_failing(true);
    watch_ended_.notify();
    changed_.notify();
}

} // namespace vanillagauge::gateway
