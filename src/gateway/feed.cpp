#include "gateway/feed.hpp"

#include "observe/log.hpp"

#include <algorithm>
#include <random>
#include <set>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// Gateways that watch the store; each event costs a call of each. Three in different failure domains leave
/// one while a domain is down and another VM restarts.
constexpr std::size_t watcher_count = 3;

/// A watch counts as one call however long it waits; a silent connection is found by keep-alive probes.
constexpr milliseconds store_wait{20000};

/// Between gateways a question costs nothing but a few bytes; its end shows that the peer lives.
constexpr milliseconds peer_wait{1000};
constexpr milliseconds peer_margin{700};

/// While neither the store nor a peer serves, each try costs a call.
constexpr milliseconds retry_least{250};
constexpr milliseconds retry_most{700};

duration retry_pause()
{
    static std::mt19937_64 random{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> pause(retry_least.count(), retry_most.count());
    return milliseconds{pause(random)};
}

} // namespace

feed::feed(net::loop& loop, std::string kind, object_store& direct, peer_relay& peers,
           const fleet_view& fleet, handler on_change)
    : loop_(loop), kind_(std::move(kind)), direct_(direct), peers_(peers), fleet_(fleet),
      on_change_(std::move(on_change)), changed_(loop)
{
}

void feed::start()
{
    net::start(loop_, follow());
}

bool feed::is_watcher() const
{
    const auto chosen = fleet_.watchers(watcher_count);
    return std::find(chosen.begin(), chosen.end(), fleet_.self()) != chosen.end();
}

// Watchers first, then the others: a gateway that the store still serves may be any of them.
std::vector<std::string> feed::sources() const
{
    const auto watchers = fleet_.watchers(watcher_count);
    std::vector<std::string> chosen;
    std::vector<std::string> others;
    for (const auto& peer : fleet_.peers()) {
        if (peer.vm == fleet_.self() || peer.relay_address.empty()) {
            continue;
        }
        const bool watches = std::find(watchers.begin(), watchers.end(), peer.vm) != watchers.end();
        (watches ? chosen : others).push_back(peer.relay_address);
    }
    static std::mt19937_64 random{std::random_device{}()};
    std::shuffle(chosen.begin(), chosen.end(), random);
    std::shuffle(others.begin(), others.end(), random);
    chosen.insert(chosen.end(), others.begin(), others.end());
    return chosen;
}

net::task<void> feed::follow()
{
    while (true) {
        const bool store_first = is_watcher() || !known_;
        bool served = false;
        if (store_first) {
            served = co_await follow_store();
        }
        if (!served) {
            for (const auto& address : sources()) {
                served = co_await follow_peer(address);
                if (served) {
                    break;
                }
            }
        }
        if (!served && !store_first) {
            served = co_await follow_store();
        }
        if (!served) {
            note_source(feed_source::none, {});
            last_failure_ = steady::now();
            co_await net::sleep_for(loop_, retry_pause());
        }
    }
}

void feed::note_source(feed_source source, const std::string& from)
{
    if (source == source_) {
        return;
    }
    source_ = source;
    const auto age_ms = std::chrono::duration_cast<milliseconds>(age(steady::now())).count();
    if (source == feed_source::none) {
        observe::log(observe::log_level::warning, "feed_lost",
                     {{"kind", kind_},
                      {"age_ms", std::int64_t{age_ms}},
                      {"as_of", static_cast<std::int64_t>(as_of_)}});
        return;
    }
    observe::log(observe::log_level::info, "feed_source",
                 {{"kind", kind_},
                  {"source", std::string(source == feed_source::store ? "store" : "peer")},
                  {"from", from},
                  {"as_of", static_cast<std::int64_t>(as_of_)}});
}

void feed::confirm(time_point asked)
{
    confirmed_ = std::max(confirmed_, asked);
    known_ = true;
    // Peers that wait learn that their answer is current, also where nothing changed.
}

net::task<bool> feed::list_all()
{
    std::map<std::string, stored_object> listed;
    std::uint64_t as_of = 0;
    std::string after;
    const auto asked = steady::now();
    while (true) {
        const auto page = co_await direct_.list(kind_, after);
        if (!ok(page)) {
            last_failure_ = steady::now();
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
    apply_snapshot(std::move(listed), as_of);
    listed_ = true;
    confirm(asked);
    co_return true;
}

net::task<bool> feed::follow_store()
{
    if (!listed_ && !co_await list_all()) {
        co_return false;
    }
    note_source(feed_source::store, "store");
    const auto asked = steady::now();
    auto seen = co_await direct_.watch(kind_, as_of_, store_wait);
    if (!ok(seen)) {
        if (failure(seen).code == error_code::stale_cursor) {
            observe::log(observe::log_level::warning, "feed_history_gone",
                         {{"kind", kind_}, {"as_of", static_cast<std::int64_t>(as_of_)}});
            listed_ = false;
            co_return co_await list_all();
        }
        last_failure_ = steady::now();
        // The watch may have missed what happened since it was cut; listing again is sure.
        listed_ = false;
        source_ = feed_source::none;
        co_return false;
    }
    for (auto& change : value(seen).events) {
        apply(std::move(change));
    }
    as_of_ = std::max(as_of_, value(seen).as_of);
    confirm(asked);
    co_return true;
}

net::task<bool> feed::follow_peer(std::string relay_address)
{
    const auto asked = steady::now();
    json question{
        {"kind", kind_}, {"since", known_ ? as_of_ : 0}, {"wait_ms", known_ ? peer_wait.count() : 0}};
    const auto answer =
        co_await peers_.ask(relay_address, "/sync", std::move(question), asked + peer_wait + peer_margin);
    if (!ok(answer) || !value(answer).value("serves", false)) {
        co_return false;
    }
    apply_sync(value(answer));
    listed_ = false;
    confirm(asked);
    note_source(feed_source::peer, relay_address);
    co_return true;
}

net::task<json> feed::serve(const json& question)
{
    const auto since = question.value("since", std::uint64_t{0});
    const auto until =
        steady::now() + milliseconds{std::min<std::int64_t>(question.value("wait_ms", 0), 5000)};
    while (as_of_ <= since && source_ == feed_source::store && steady::now() < until) {
        co_await changed_.wait_until(until);
    }
    if (source_ != feed_source::store || !known_) {
        co_return json{{"serves", false}};
    }
    json names = json::array();
    json changed = json::array();
    for (const auto& [name, object] : objects_) {
        names.push_back(name);
        if (object.revision > since) {
            changed.push_back(to_json(object));
        }
    }
    json answer{{"serves", true}, {"as_of", as_of_}, {"changed", std::move(changed)}};
    if (as_of_ > since) {
        answer["names"] = std::move(names);
    }
    co_return answer;
}

void feed::apply_sync(const json& answer)
{
    const auto as_of = answer.value("as_of", std::uint64_t{0});
    if (as_of < as_of_ || !answer.contains("names")) {
        return; // older than what is known here, or nothing new
    }
    for (const auto& entry : answer.at("changed")) {
        apply({object_from_json(entry), false});
    }
    std::set<std::string> names;
    for (const auto& name : answer.at("names")) {
        names.insert(name.get<std::string>());
    }
    std::vector<stored_object> gone;
    for (const auto& [name, object] : objects_) {
        if (!names.contains(name) && object.revision <= as_of) {
            gone.push_back(object);
        }
    }
    for (auto& object : gone) {
        apply({std::move(object), true});
    }
    as_of_ = std::max(as_of_, as_of);
    changed_.notify();
}

void feed::apply_snapshot(std::map<std::string, stored_object> listed, std::uint64_t as_of)
{
    std::vector<stored_object> gone;
    for (const auto& [name, object] : objects_) {
        if (!listed.contains(name) && object.revision <= as_of) {
            gone.push_back(object);
        }
    }
    for (auto& object : gone) {
        apply({std::move(object), true});
    }
    for (auto& [name, object] : listed) {
        apply({std::move(object), false});
    }
    as_of_ = std::max(as_of_, as_of);
    changed_.notify();
}

// An answer that was long under way must not bring an older state back.
void feed::apply(object_change change)
{
    const auto known = objects_.find(change.object.name);
    if (known != objects_.end() && change.object.revision < known->second.revision) {
        return;
    }
    if (change.removed) {
        if (known == objects_.end()) {
            return;
        }
        objects_.erase(known);
    }
    else {
        if (known != objects_.end() && change.object.revision == known->second.revision) {
            return;
        }
        objects_[change.object.name] = change.object;
    }
    on_change_(change);
    changed_.notify();
}

void feed::take_own(stored_object object)
{
    apply({std::move(object), false});
}

} // namespace vanillagauge::gateway
