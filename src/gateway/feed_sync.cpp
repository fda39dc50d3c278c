#include "gateway/feed_sync.hpp"

#include "gateway/internal/sync_messages.hpp"
#include "observe/log.hpp"

#include <algorithm>
#include <random>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// Gateways that watch the store, each event costing a call of each: three in different failure domains leave
/// one while a domain is down and another VM restarts. In a large fleet one more for each two dozen of
/// gateways, so that none answers more than some forty questions a second; the busiest of 66 fronts takes
/// 0.023 cores in all.
constexpr std::size_t least_watchers = 3;
constexpr std::size_t gateways_a_watcher = 24;

/// A watch counts as one call however long it waits.
constexpr milliseconds store_wait{20000};

/// A watch that waits looks the same whether nothing changes or the store no longer answers this VM, and
/// the others would be told "nothing new" until keep-alive probes end the connection, some three seconds
/// later, or never where the store itself is silent. Changes must be in force everywhere within two
/// seconds, so a watcher that heard nothing asks for a sign of life, which may be old and costs the
/// store little.
constexpr milliseconds check_every{600};
constexpr milliseconds check_time{500};

/// Changes must be in force everywhere within two seconds. A watcher may have gone silent, or be cut off from
/// the store without knowing it yet; asking them in turn, each for no longer than this, finds another one in
/// time.
constexpr milliseconds peer_wait{600};
constexpr milliseconds peer_margin{400};

/// Without word from a watcher for this long, a gateway asks the store itself.
constexpr milliseconds patience{1300};

/// While neither serves, each try at the store costs a call.
constexpr milliseconds retry_least{250};
constexpr milliseconds retry_most{700};
constexpr milliseconds idle_pause{100};

/// Changes come in bursts: replicas load new weights two by two, batches end and begin together. What comes
/// within this time of a change is told by the next call, for a sixth of the time allowed. With a watcher
/// for each two dozen: 2,859 calls of a calm day of 78 VMs, 4,011 with half the time and twice the watchers.
constexpr milliseconds gather_time{300};

/// One for each loop: two gateways in one process raced for a shared one.
std::mt19937_64& random()
{
    thread_local std::mt19937_64 shared{std::random_device{}()};
    return shared;
}

duration retry_pause()
{
    std::uniform_int_distribution<std::int64_t> pause(retry_least.count(), retry_most.count());
    return milliseconds{pause(random())};
}

} // namespace

feed_hub::feed_hub(net::loop& loop, object_store& direct, peer_relay& peers, fleet_view& fleet,
                   policy::quarantine& crashes, const std::vector<chosen_feed>& feeds)
    : loop_(loop), direct_(direct), peers_(peers), fleet_(fleet), crashes_(crashes), changed_(loop),
      watch_ended_(loop)
{
    for (const auto& chosen : feeds) {
        feeds_.push_back({chosen.content, chosen.needed_here});
    }
}

void feed_hub::start()
{
    for (std::size_t place = 0; place < feeds_.size(); ++place) {
        net::start(loop_, follow_store(place));
    }
    net::start(loop_, follow_peers());
    net::start(loop_, check_store());
}

// Watches look at this count to learn that their answer is of no more use; they list again then.
void feed_hub::start_over()
{
    ++silences_;
    watch_ended_.notify();
}

std::vector<std::string> feed_hub::watchers() const
{
    const auto count = std::max(least_watchers, fleet_.peers().size() / gateways_a_watcher);
    return fleet_.watchers(count);
}

time_point feed_hub::confirmed() const
{
    auto oldest = time_point::max();
    for (const auto& entry : feeds_) {
        oldest = entry.needed_here ? std::min(oldest, entry.content->confirmed()) : oldest;
    }
    return oldest;
}

bool feed_hub::watches() const
{
    const auto chosen = watchers();
    const bool is_chosen = std::find(chosen.begin(), chosen.end(), fleet_.self()) != chosen.end();
    return is_chosen || steady::now() - confirmed() > patience;
}

bool feed_hub::serves() const
{
    return std::all_of(feeds_.begin(), feeds_.end(), [](const followed& entry) { return entry.serving; });
}

void feed_hub::note_source(const std::string& source)
{
    if (source != source_ && (source == "store") != (source_ == "store")) {
        observe::log(observe::log_level::info, "feeds_source", {{"source", source}, {"before", source_}});
    }
    source_ = source;
}

void feed_hub::note_failure(const error& why)
{
    last_failure_ = steady::now();
    if (!store_down_) {
        const auto known = confirmed();
        const auto age_ms = known == time_point{} // nothing was known yet
                                ? std::int64_t{-1}
                                : std::chrono::duration_cast<milliseconds>(last_failure_ - known).count();
        observe::log(observe::log_level::warning, "feeds_lost",
                     {{"why", describe(why)}, {"confirmed_ms_ago", std::int64_t{age_ms}}});
    }
    store_down_ = true;
}

// After a failure one feed tries the store and the others wait for it: each try costs a call, also a refused
// one.
net::task<void> feed_hub::follow_store(std::size_t place)
{
    auto& entry = feeds_[place];
    while (true) {
        if (!watches()) {
            entry.serving = false;
            entry.listed = false;
            if (!entry.needed_here && entry.content->known()) {
                entry.content->forget();
            }
            co_await net::sleep_for(loop_, idle_pause);
            continue;
        }
        if (store_down_ && place != 0) {
            entry.serving = false;
            co_await net::sleep_for(loop_, idle_pause);
            continue;
        }
        bool served = false;
        if (entry.listed) {
            served = co_await watch(entry);
        }
        else {
            served = co_await list(entry);
        }
        entry.serving = served;
        fleet_.set_watch_failing(!served);
        const auto pause = served ? duration{gather_time} : retry_pause();
        co_await net::sleep_for(loop_, pause);
    }
}

net::task<bool> feed_hub::list(followed& entry)
{
    std::map<std::string, stored_object> listed;
    std::uint64_t as_of = 0;
    std::string after;
    const auto asked = steady::now();
    while (true) {
        const auto page = co_await direct_.list(entry.content->kind(), after);
        if (!ok(page)) {
            note_failure(failure(page));
            co_return false;
        }
        for (const auto& object : value(page).objects) {
            after = object.name;
            listed[object.name] = object;
        }
        // What changes while the pages are read shows in the watch from the first page's revision.
        as_of = as_of == 0 ? value(page).as_of : as_of;
        if (!value(page).more) {
            break;
        }
    }
    entry.content->take_listing(std::move(listed), as_of, asked);
    entry.listed = true;
    last_answer_ = steady::now();
    store_down_ = false;
    note_source("store");
    changed_.notify();
    co_return true;
}

net::task<void> feed_hub::run_watch(std::string kind, std::uint64_t since, std::shared_ptr<watch_call> call)
{
    call->answer = co_await direct_.watch(std::move(kind), since, store_wait);
    watch_ended_.notify();
}

net::task<bool> feed_hub::watch(followed& entry)
{
    const auto asked = steady::now();
    const auto since = entry.content->as_of();
    const auto call = std::make_shared<watch_call>();
    const auto silences = silences_;
    net::start(loop_, run_watch(entry.content->kind(), since, call));
    const auto until = asked + 2 * store_wait;
    while (!call->answer && silences == silences_) {
        co_await watch_ended_.wait_until(until);
    }
    // What happened since the watch was cut is not known; listing again is sure.
    if (!call->answer) {
        entry.listed = false;
        co_return false;
    }
    auto& seen = *call->answer;
    if (ok(seen)) {
        last_answer_ = steady::now();
        entry.content->take_changes(std::move(value(seen)), asked);
        store_down_ = false;
        changed_.notify();
        co_return true;
    }
    entry.listed = false;
    if (failure(seen).code == error_code::stale_cursor) {
        observe::log(observe::log_level::warning, "feed_history_gone",
                     {{"kind", entry.content->kind()}, {"as_of", static_cast<std::int64_t>(since)}});
    }
    // A store that has dropped its history cuts the watches and serves on. To wait before the first try would
    // keep from everybody what changed while the watches heard nothing.
    co_return co_await list(entry);
}

net::task<void> feed_hub::check_store()
{
    while (true) {
        co_await net::sleep_for(loop_, check_every);
        if (!serves() || steady::now() - last_answer_ < check_every) {
            continue;
        }
        const auto silences = silences_;
        const auto answered = co_await direct_.check(feeds_.front().content->kind(), check_time);
        if (ok(answered)) {
            last_answer_ = steady::now();
            continue;
        }
        if (!serves() || silences != silences_) {
            continue;
        }
        note_failure(failure(answered));
        ++silences_;
        for (auto& entry : feeds_) {
            entry.serving = false;
        }
        fleet_.set_watch_failing(true);
        watch_ended_.notify();
        changed_.notify();
    }
}

// Also a gateway that watches asks the others in turn: the store may have stopped to answer this VM alone, on
// a connection that looks sound.
net::task<void> feed_hub::follow_peers()
{
    while (true) {
        std::vector<std::string> addresses;
        const auto chosen = watchers();
        for (const auto& peer : fleet_.peers()) {
            const bool is_chosen = std::find(chosen.begin(), chosen.end(), peer.vm) != chosen.end();
            if (is_chosen && peer.vm != fleet_.self() && !peer.relay_address.empty()) {
                addresses.push_back(peer.relay_address);
            }
        }
        if (addresses.empty()) {
            co_await net::sleep_for(loop_, idle_pause);
            continue;
        }
        const auto address = addresses[turn_++ % addresses.size()];
        const bool served = co_await ask_peer(address);
        if (!served) {
            co_await net::sleep_for(loop_, idle_pause);
        }
    }
}

net::task<bool> feed_hub::ask_peer(std::string address)
{
    const auto asked = steady::now();
    const auto known = exchanged_[address];
    internal::news_question question{peer_wait, {}, crashes_.news(known.told, asked), known.heard};
    for (const auto& entry : feeds_) {
        if (entry.needed_here) {
            question.since[entry.content->kind()] = entry.content->known() ? entry.content->as_of() : 0;
        }
    }
    auto text = internal::to_json(question);
    const auto answer =
        co_await peers_.ask(address, "/sync", std::move(text), asked + peer_wait + peer_margin);
    if (!ok(answer)) {
        co_return false;
    }
    auto told = internal::answer_from_json(value(answer));
    if (!ok(told)) {
        observe::log(observe::log_level::warning, "peer_unreadable",
                     {{"address", address}, {"why", describe(failure(told))}});
        co_return false;
    }
    exchanged_[address] = {question.crashes.as_of, value(told).crashes.as_of};
    const bool served = value(told).serves;
    bool news = crashes_.merge(value(told).crashes, steady::now());
    if (served) {
        news = take(std::move(value(told)), asked) || news;
        if (!serves()) {
            note_source(address);
        }
    }
    if (news) {
        changed_.notify();
    }
    co_return served;
}

bool feed_hub::take(internal::news_answer answer, time_point asked)
{
    if (answer.failed_ago) {
        last_failure_ = std::max(last_failure_, asked - *answer.failed_ago);
    }
    bool news = false;
    for (auto& entry : feeds_) {
        const auto found = answer.by_kind.find(entry.content->kind());
        if (found != answer.by_kind.end()) {
            const auto before = entry.content->as_of();
            entry.content->take_news(std::move(found->second), asked);
            news = news || entry.content->has_news(before);
        }
    }
    return news;
}

const feed* feed_hub::find(const std::string& kind) const
{
    const auto found = std::find_if(feeds_.begin(), feeds_.end(),
                                    [&kind](const followed& entry) { return entry.content->kind() == kind; });
    return found == feeds_.end() ? nullptr : found->content;
}

bool feed_hub::has_news(const internal::news_question& question) const
{
    return crashes_.has_news(question.crashes_since) ||
           std::any_of(question.since.begin(), question.since.end(), [this](const auto& asked) {
               const auto* content = find(asked.first);
               return content != nullptr && content->has_news(asked.second);
           });
}

net::task<net::http_response> feed_hub::serve(const net::http_request& request)
{
    net::http_response response;
    const auto read = internal::question_from_json(json::parse(request.body, nullptr, false));
    if (!ok(read)) {
        observe::log(observe::log_level::warning, "news_call_refused", {{"why", describe(failure(read))}});
        response.status = 400;
        response.body = failure(read).detail;
        co_return response;
    }
    const auto& question = value(read);
    const auto asked = steady::now();
    if (crashes_.merge(question.crashes, asked)) {
        changed_.notify();
    }
    const auto until = asked + std::min(question.wait, peer_wait);
    while (serves() && !has_news(question) && steady::now() < until) {
        co_await changed_.wait_until(until);
    }
    internal::news_answer answer;
    answer.serves = serves();
    answer.crashes = crashes_.news(question.crashes_since, steady::now());
    if (last_failure_ != time_point{}) {
        answer.failed_ago = std::chrono::duration_cast<milliseconds>(steady::now() - last_failure_);
    }
    if (answer.serves) {
        for (const auto& [kind, since] : question.since) {
            if (const auto* content = find(kind)) {
                answer.by_kind[kind] = content->news(since);
            }
        }
    }
    response.body = internal::to_json(answer).dump();
    co_return response;
}

} // namespace vanillagauge::gateway
