#include "gateway/feed.hpp"

#include <algorithm>
#include <set>

namespace vanillagauge::gateway {

using nlohmann::json;

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
        apply({std::move(object), true});
        changed_as_of_ = std::max(changed_as_of_, as_of);
    }
}

void feed::take_listing(std::map<std::string, stored_object> listed, std::uint64_t as_of, time_point asked)
{
    if (as_of >= as_of_) {
        remove_absent([&listed](const std::string& name) { return listed.contains(name); }, as_of);
    }
    for (auto& [name, object] : listed) {
        apply({std::move(object), false});
    }
    advance(as_of, asked);
}

void feed::take_changes(object_changes changes, time_point asked)
{
    for (auto& change : changes.events) {
        const bool removed = change.removed;
        apply(std::move(change));
        if (removed) {
            changed_as_of_ = std::max(changed_as_of_, changes.as_of);
        }
    }
    advance(changes.as_of, asked);
}

json feed::answer(std::uint64_t since) const
{
    json answer;
    answer["as_of"] = as_of_;
    if (!has_news(since)) {
        return answer;
    }
    auto& names = answer["names"] = json::array();
    auto& changed = answer["changed"] = json::array();
    for (const auto& [name, object] : objects_) {
        names.push_back(name);
        if (object.revision > since) {
            changed.push_back(to_json(object));
        }
    }
    return answer;
}

void feed::take_answer(const json& answer, time_point asked)
{
    const auto as_of = answer.value("as_of", std::uint64_t{0});
    if (as_of < as_of_) {
        // Its watch waits since an earlier revision than this copy was listed at: nothing has changed since.
        // Taken for no word at all, it would make this gateway list everything again each second.
        confirmed_ = std::max(confirmed_, asked);
        return;
    }
    if (answer.contains("names")) {
        for (const auto& entry : answer.at("changed")) {
            apply({object_from_json(entry), false});
        }
        std::set<std::string> names;
        for (const auto& name : answer.at("names")) {
            names.insert(name.get<std::string>());
        }
        remove_absent([&names](const std::string& name) { return names.contains(name); }, as_of);
    }
    advance(as_of, asked);
}

} // namespace vanillagauge::gateway
