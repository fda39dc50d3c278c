#include "gateway/feed.hpp"

#include "gateway/untrusted_json.hpp"

#include <algorithm>
#include <utility>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// Some minutes of a busy day; an asker from before them gets all names.
constexpr std::size_t most_removals = 1024;

} // namespace

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
    changed_as_of_ = std::max(changed_as_of_, change.object.revision);
    on_change_(change);
}

void feed::advance(std::uint64_t as_of, time_point asked)
{
    as_of_ = std::max(as_of_, as_of);
    confirmed_ = std::max(confirmed_, asked);
    known_ = true;
}

void feed::remove_absent(const std::function<bool(const std::string&)>& present, std::uint64_t as_of)
{
    std::vector<stored_object> gone;
    for (const auto& [name, object] : objects_) {
        if (!present(name) && object.revision <= as_of) {
            gone.push_back(object);
        }
    }
    for (auto& object : gone) {
        note_removal(object, as_of);
        apply({std::move(object), true});
        changed_as_of_ = std::max(changed_as_of_, as_of);
    }
}

// Also of an object that was never known here: a gateway that asks may know it from another one.
void feed::note_removal(const stored_object& object, std::uint64_t as_of)
{
    stored_object gone;
    gone.name = object.name;
    gone.revision = object.revision;
    removals_.push_back({std::move(gone), as_of});
    if (removals_.size() > most_removals) {
        removals_since_ = std::max(removals_since_, removals_.front().as_of);
        removals_.pop_front();
    }
}

// What came and went before a list of all names was made shows in none of the names.
void feed::forget_removals(std::uint64_t as_of)
{
    removals_.clear();
    removals_since_ = std::max(removals_since_, as_of);
}

void feed::take_listing(std::map<std::string, stored_object> listed, std::uint64_t as_of, time_point asked)
{
    if (as_of >= as_of_) {
        remove_absent([&listed](const std::string& name) { return listed.contains(name); }, as_of);
    }
    for (auto& [name, object] : listed) {
        apply({std::move(object), false});
    }
    forget_removals(std::max(as_of, as_of_));
    advance(as_of, asked);
}

void feed::take_changes(object_changes changes, time_point asked)
{
    for (auto& change : changes.events) {
        if (change.removed) {
            note_removal(change.object, changes.as_of);
            changed_as_of_ = std::max(changed_as_of_, changes.as_of);
        }
        apply(std::move(change));
    }
    advance(changes.as_of, asked);
}

// Names of everything in each answer would make the fleet's traffic grow with VMs times replicas.
feed_news feed::news(std::uint64_t since) const
{
    feed_news told;
    told.as_of = as_of_;
    if (!has_news(since)) {
        return told;
    }
    const bool whole = since < removals_since_;
    if (whole) {
        told.names.emplace();
    }
    for (const auto& [name, object] : objects_) {
        if (whole) {
            told.names->insert(name);
        }
        if (object.revision > since) {
            told.changed.push_back(object);
        }
    }
    for (const auto& gone : removals_) {
        if (!whole && gone.as_of > since) {
            told.removed.push_back(gone.object);
        }
    }
    return told;
}

void feed::take_news(feed_news news, time_point asked)
{
    if (news.as_of < as_of_) {
        // Its watch waits since an earlier revision than this copy was listed at: nothing has changed since.
        // Taken for no word at all, it would make this gateway list everything again each second.
        confirmed_ = std::max(confirmed_, asked);
        return;
    }
    for (auto& gone : news.removed) {
        note_removal(gone, news.as_of);
        changed_as_of_ = std::max(changed_as_of_, news.as_of);
        apply({std::move(gone), true});
    }
    for (auto& object : news.changed) {
        apply({std::move(object), false});
    }
    if (news.names) {
        remove_absent([&news](const std::string& name) { return news.names->contains(name); }, news.as_of);
        forget_removals(news.as_of);
    }
    advance(news.as_of, asked);
}

void feed::forget()
{
    const auto held = std::exchange(objects_, {});
    removals_.clear();
    as_of_ = 0;
    changed_as_of_ = 0;
    removals_since_ = 0;
    known_ = false;
    for (const auto& [name, object] : held) {
        on_change_({object, true});
    }
}

json to_json(const feed_news& news)
{
    json text;
    text["as_of"] = news.as_of;
    for (const auto& object : news.changed) {
        text["changed"].push_back(to_json(object));
    }
    for (const auto& object : news.removed) {
        text["removed"].push_back(to_json(object));
    }
    if (news.names) {
        text["names"] = *news.names;
    }
    return text;
}

result<feed_news> feed_news_from_json(const json& text)
{
    error malformed{error_code::unavailable, run_state::in_doubt, "expected a gateway's news of a feed"};
    return decoded<feed_news>(text, std::move(malformed), [](const json& from) {
        feed_news news;
        news.as_of = from.at("as_of").get<std::uint64_t>();
        for (const auto& object : member_or_null(from, "changed")) {
            news.changed.push_back(object_from_json(object));
        }
        for (const auto& object : member_or_null(from, "removed")) {
            news.removed.push_back(object_from_json(object));
        }
        if (const auto names = from.find("names"); names != from.end()) {
            news.names = names->get<std::set<std::string>>();
        }
        return news;
    });
}

} // namespace vanillagauge::gateway
