#include "gateway/feed_sync.hpp"

#include "gateway/internal/sync_messages.hpp"
#include "gateway/untrusted_json.hpp"
#include "observe/log.hpp"
#include "policy/copy_age.hpp"
#include "policy/feed_pause.hpp"
#include "json/json.hpp"

#include <algorithm>
#include <utility>

namespace vanillagauge::gateway {

namespace {

/// A gateway that has just started reads the store once no further peer has appeared for the calm time, or
/// after the meeting time. If all VMs start together, each first knows but a few others and would take itself
/// for one of the watchers.
constexpr milliseconds calm_time{300};
constexpr milliseconds meeting_time{1000};

/// After a poll that was not served.
constexpr milliseconds idle_delay{100};

/// While a caller waits for a copy to become current.
constexpr milliseconds refresh_poll_interval{10};

} // namespace

feed_sync::feed_sync(net::loop& loop, object_store& direct, peer_relay& peers, fleet_view& fleet,
                     policy::quarantine& crashes, const std::vector<feed_registration>& feeds)
    : loop_(loop), direct_(direct), peers_(peers), fleet_(fleet), crashes_(crashes), changed_(loop),
      watch_ended_(loop), started_(feed::now())
{
    for (const auto& chosen : feeds) {
        feeds_.push_back({chosen.content, chosen.needed_here, chosen.pace});
    }
}

void feed_sync::start()
{
    for (std::size_t index = 0; index < feeds_.size(); ++index) {
        net::start(loop_, sync_from_store(index));
    }
    net::start(loop_, poll_peers());
}

// Each pending watch compares the generation and is abandoned when it changes; its feed is then listed again.
void feed_sync::restart_watches()
{
    ++watch_generation_;
    watch_ended_.notify();
}

policy::feed_plan feed_sync::plan() const
{
    return {fleet_.watchers(policy::serving_count(fleet_.peers().size())), fleet_.self()};
}

time_point feed_sync::confirmed_at() const
{
    auto oldest = time_point::max();
    for (const auto& entry : feeds_) {
        oldest = is_needed(entry) ? std::min(oldest, entry.content->confirmed_at()) : oldest;
    }
    return oldest;
}

duration feed_sync::age_of(const synced_feed& entry) const
{
    return feed::now() - std::max(entry.content->confirmed_at(), started_);
}

bool feed_sync::is_meeting_peers()
{
    const auto now = feed::now();
    if (now - started_ >= meeting_time) {
        return false;
    }
    if (const auto peers = fleet_.peers().size(); peers != peers_met_) {
        peers_met_ = peers;
        last_met_ = now;
    }
    return now - last_met_ < calm_time;
}

bool feed_sync::should_watch(const synced_feed& entry)
{
    if (is_meeting_peers()) {
        return false;
    }
    policy::feed_plan::copy known;
    if (is_needed(entry)) {
        known = {entry.content->synced(), age_of(entry)};
    }
    return plan().watches(entry.pace, known);
}

bool feed_sync::watches_store() const
{
    bool watches = false;
    for (const auto& entry : feeds_) {
        if (entry.listed && !entry.store_reachable) {
            return false;
        }
        watches = watches || entry.store_reachable;
    }
    return watches;
}

// An older copy is still used while the store is away: whether its answer failed or is missing, nothing
// better is to be had.
bool feed_sync::is_usable(const synced_feed& entry) const
{
    if (age_of(entry) <= policy::max_copy_age || last_failure_ > entry.content->confirmed_at()) {
        return true;
    }
    return entry.asked_since && feed::now() - *entry.asked_since >= policy::refresh_timeout;
}

net::task<void> feed_sync::refresh(std::string kind, time_point until)
{
    const auto* entry = find(kind);
    while (entry != nullptr && !is_usable(*entry) && steady::now() < until) {
        co_await changed_.wait_until(std::min(until, steady::now() + refresh_poll_interval));
    }
}

bool feed_sync::is_served(const synced_feed& entry) const
{
    const auto max_age =
        entry.pace == policy::feed_pace::steady ? policy::max_served_age : policy::max_served_frequent_age;
    return entry.content->synced() && age_of(entry) <= max_age;
}

// A frequent feed that is behind must not keep the others from the polling gateway.
bool feed_sync::is_current(const internal::sync_request& request) const
{
    return std::all_of(feeds_.begin(), feeds_.end(), [&](const synced_feed& entry) {
        const bool soon =
            entry.pace == policy::feed_pace::steady && request.since.contains(entry.content->kind());
        return !soon || is_served(entry);
    });
}

void feed_sync::set_source(const std::string& source)
{
    if (source != source_ && (source == "store") != (source_ == "store")) {
        observe::log(observe::log_level::info, "feeds_source", {{"source", source}, {"before", source_}});
    }
    source_ = source;
}

void feed_sync::note_failure(time_point failed_at)
{
    for (auto& entry : feeds_) {
        entry.content->note_failure(failed_at);
    }
}

void feed_sync::record_failure(const error& why)
{
    last_failure_ = feed::now();
    note_failure(last_failure_);
    if (!store_down_) {
        const auto known = confirmed_at();
        const auto age_ms = known == time_point{} // no feed synced yet
                                ? std::int64_t{-1}
                                : milliseconds_between(known, feed::now()).count();
        observe::log(observe::log_level::warning, "feeds_lost",
                     {{"why", describe(why)}, {"confirmed_ms_ago", std::int64_t{age_ms}}});
    }
    store_down_ = true;
}

bool feed_sync::is_behind() const
{
    return std::any_of(feeds_.begin(), feeds_.end(), [this](const synced_feed& entry) {
        return entry.pace == policy::feed_pace::steady && is_needed(entry) &&
               age_of(entry) > policy::refresh_age;
    });
}

std::vector<std::uint64_t> feed_sync::revisions() const
{
    std::vector<std::uint64_t> known;
    known.reserve(feeds_.size());
    for (const auto& entry : feeds_) {
        known.push_back(entry.content->as_of());
    }
    return known;
}

// A watching gateway polls its peers too: the store may have stopped responding to this VM alone, on a
// connection that still looks healthy. A pause counts as part of the next poll, so that no copy gets older by
// it.
net::task<void> feed_sync::poll_peers()
{
    milliseconds paused{0};
    while (true) {
        const auto poll_time = polls_substitutes() ? policy::serving_poll_time : plan().poll_time();
        auto address = source_address();
        const auto before = revisions();
        const auto began = steady::now();
        auto polled = poll_result::behind;
        if (!address.empty()) {
            polled = co_await poll_peer(std::move(address), poll_time - std::exchange(paused, {}));
        }
        if (polled == poll_result::current) {
            const auto pause =
                policy::pause_after_poll(revisions() != before, steady::now() - began, random_);
            paused = std::chrono::ceil<milliseconds>(pause);
        }
        else {
            change_source(polled);
        }
        co_await net::sleep_for(loop_, polled == poll_result::current ? paused : idle_delay);
    }
}

// VMs without callers do not keep all feeds, so they are no substitutes.
std::string feed_sync::source_address() const
{
    std::vector<std::string> vms;
    if (polls_substitutes()) {
        for (const auto& peer : fleet_.peers()) {
            if (!peer.front_address.empty()) {
                vms.push_back(peer.vm);
            }
        }
        vms = plan().substitutes(vms);
    }
    else {
        vms = plan().sources();
    }
    const auto* source = vms.empty() ? nullptr : fleet_.find_peer(vms[next_source_ % vms.size()]);
    return source == nullptr ? std::string{} : source->relay_address;
}

// A cut may take away the store and all watchers at once, while other gateways in reach know better. The
// membership replaces a watcher only if its watch fails, not because one gateway cannot reach it.
void feed_sync::change_source(poll_result last)
{
    ++next_source_;
    if (last != poll_result::unreachable || polls_substitutes() || !is_behind()) {
        return;
    }
    substitutes_until_ = steady::now() + policy::source_retry_interval;
    observe::log(
        observe::log_level::warning, "feed_sources_lost",
        {{"confirmed_ms_ago", std::int64_t{milliseconds_between(confirmed_at(), feed::now()).count()}}});
}

net::task<feed_sync::poll_result> feed_sync::poll_peer(std::string address, milliseconds poll_time)
{
    const auto requested_at = feed::now();
    const auto known = crash_revisions_[address];
    internal::sync_request request{
        poll_time, {}, crashes_.update_since(known.sent, steady::now()), known.received};
    for (const auto& entry : feeds_) {
        if (is_needed(entry)) {
            request.since[entry.content->kind()] = entry.content->synced() ? entry.content->as_of() : 0;
        }
    }
    auto body = internal::to_json(request);
    const auto until = steady::now() + poll_time + policy::poll_margin;
    const auto answer = co_await peers_.call_peer(address, "/sync", std::move(body), until);
    if (!ok(answer)) {
        co_return poll_result::unreachable;
    }
    auto response = internal::sync_response_from_json(value(answer));
    if (!ok(response)) {
        observe::log(observe::log_level::warning, "peer_unreadable",
                     {{"address", address}, {"why", describe(failure(response))}});
        co_return poll_result::unreachable;
    }
    crash_revisions_[address] = {request.crashes.as_of, value(response).crashes.as_of};
    const bool served = value(response).current;
    if (const auto failure_age = value(response).failure_age) {
        note_failure(policy::time_at_peer(requested_at, value(response).held, *failure_age));
    }
    bool changed = crashes_.merge(value(response).crashes, steady::now());
    changed = apply_response(std::move(value(response)), request.since, requested_at) || changed;
    if (served && !watches_store()) {
        set_source(address);
    }
    if (changed) {
        changed_.notify();
    }
    co_return served ? poll_result::current : poll_result::behind;
}

bool feed_sync::apply_response(internal::sync_response response,
                               const std::map<std::string, std::uint64_t>& since, time_point requested_at)
{
    bool changed = false;
    for (auto& entry : feeds_) {
        const auto found = response.feeds.find(entry.content->kind());
        const auto asked = since.find(entry.content->kind());
        if (found != response.feeds.end() && asked != since.end()) {
            const auto before = entry.content->as_of();
            auto& served = found->second;
            served.update.since = asked->second;
            entry.content->apply_update(std::move(served.update),
                                        policy::time_at_peer(requested_at, response.held, served.age));
            changed = changed || entry.content->changed_since(before);
        }
    }
    return changed;
}

const feed_sync::synced_feed* feed_sync::find(const std::string& kind) const
{
    const auto found = std::find_if(feeds_.begin(), feeds_.end(), [&kind](const synced_feed& entry) {
        return entry.content->kind() == kind;
    });
    return found == feeds_.end() ? nullptr : &*found;
}

bool feed_sync::has_updates(const internal::sync_request& request) const
{
    return crashes_.changed_since(request.crashes_since) ||
           std::any_of(request.since.begin(), request.since.end(), [this](const auto& entry) {
               const auto* known = find(entry.first);
               return known != nullptr && is_served(*known) && known->content->changed_since(entry.second);
           });
}

net::task<net::http_response> feed_sync::serve(const net::http_request& request)
{
    net::http_response response;
    const auto read = internal::sync_request_from_json(parse_peer_json(request.body));
    if (!ok(read)) {
        observe::log(observe::log_level::warning, "news_call_refused", {{"why", describe(failure(read))}});
        response.status = 400;
        response.body = failure(read).detail;
        co_return response;
    }
    const auto& wanted = value(read);
    const auto received_at = feed::now();
    if (crashes_.merge(wanted.crashes, steady::now())) {
        changed_.notify();
    }
    const auto until = steady::now() + std::min<milliseconds>(wanted.wait, policy::poll_time_of_others);
    while (is_current(wanted) && !has_updates(wanted) && steady::now() < until) {
        co_await changed_.wait_until(until);
    }
    internal::sync_response answer;
    answer.current = is_current(wanted);
    if (last_failure_ > confirmed_at()) {
        answer.failure_age = std::chrono::ceil<milliseconds>(feed::now() - last_failure_);
    }
    answer.held = std::chrono::floor<milliseconds>(feed::now() - received_at);
    answer.crashes = crashes_.update_since(wanted.crashes_since, steady::now());
    for (const auto& [kind, since] : wanted.since) {
        if (const auto* known = find(kind); known != nullptr && is_served(*known)) {
            answer.feeds[kind] = {known->content->update_since(since),
                                  std::chrono::ceil<milliseconds>(age_of(*known))};
        }
    }
    response.body = encode_any(internal::to_json(answer));
    co_return response;
}

} // namespace vanillagauge::gateway
