#include "gateway/feed.hpp"

#include "gateway/untrusted_json.hpp"
#include "observe/last_inputs.hpp"

#include <algorithm>
#include <utility>

namespace vanillagauge::gateway {

using nlohmann::json;

namespace {

/// A gateway whose revision is older than the retained removals gets all names instead.
constexpr std::size_t max_removals = 1024;

} // namespace

// A delayed response must not restore an older state: neither of an object that is known, nor one that was
// removed, since all objects up to `as_of_` are known.
void feed::apply(object_change change)
{
    observe::note_input(kind_, change.object.name);
    const auto found = objects_.find(change.object.name);
    if (found != objects_.end() && change.object.revision < found->second.revision) {
        return;
    }
    if (found == objects_.end() && synced_ && change.object.revision <= as_of_) {
        return;
    }
    if (change.removed) {
        if (found == objects_.end()) {
            return;
        }
        objects_.erase(found);
    }
    else {
        if (found != objects_.end() && change.object.revision == found->second.revision) {
            return;
        }
        objects_[change.object.name] = change.object;
    }
    changed_as_of_ = std::max(changed_as_of_, change.object.revision);
    on_change_(change);
}

void feed::confirm(time_point requested_at)
{
    confirmed_at_ = std::max(confirmed_at_, requested_at);
    grace_.on_answer(requested_at);
}

void feed::advance(std::uint64_t as_of)
{
    as_of_ = std::max(as_of_, as_of);
    synced_ = true;
}

void feed::remove_absent(const std::function<bool(const std::string&)>& present, std::uint64_t as_of)
{
    std::vector<stored_object> removed;
    for (const auto& [name, object] : objects_) {
        if (!present(name) && object.revision <= as_of) {
            removed.push_back(object);
        }
    }
    for (auto& object : removed) {
        record_removal(object, as_of);
        apply({std::move(object), true});
        changed_as_of_ = std::max(changed_as_of_, as_of);
    }
}

// Also records objects unknown here: the polling gateway may have learned of them from another one.
void feed::record_removal(const stored_object& object, std::uint64_t as_of)
{
    stored_object removed;
    removed.name = object.name;
    removed.revision = object.revision;
    removals_.push_back({std::move(removed), as_of});
    if (removals_.size() > max_removals) {
        removals_since_ = std::max(removals_since_, removals_.front().as_of);
        removals_.pop_front();
    }
}

// A list of all names omits objects created and removed before it was made, so older removals are incomplete.
void feed::discard_removals(std::uint64_t as_of)
{
    removals_.clear();
    removals_since_ = std::max(removals_since_, as_of);
}

// Each update is confirmed before it is applied: the grace for entries that expired in an outage, which ends
// with this answer, must be known when removals are reported.
void feed::apply_listing(std::map<std::string, stored_object> listed, std::uint64_t as_of,
                         time_point requested_at)
{
    confirm(requested_at);
    if (as_of >= as_of_) {
        remove_absent([&listed](const std::string& name) { return listed.contains(name); }, as_of);
    }
    for (auto& [name, object] : listed) {
        apply({std::move(object), false});
    }
    discard_removals(std::max(as_of, as_of_));
    advance(as_of);
}

void feed::apply_changes(object_changes changes, time_point requested_at)
{
    if (!reaches(changes.since)) {
        return;
    }
    confirm(requested_at);
    for (auto& change : changes.events) {
        if (change.removed) {
            record_removal(change.object, changes.as_of);
            changed_as_of_ = std::max(changed_as_of_, changes.as_of);
        }
        apply(std::move(change));
    }
    advance(changes.as_of);
}

// Sending all names each time would make the fleet's traffic grow with VMs times replicas.
feed_update feed::update_since(std::uint64_t since) const
{
    feed_update update;
    update.as_of = as_of_;
    update.since = since;
    if (!changed_since(since)) {
        return update;
    }
    const bool complete = since < removals_since_;
    if (complete) {
        update.names.emplace();
    }
    for (const auto& [name, object] : objects_) {
        if (complete) {
            update.names->insert(name);
        }
        if (object.revision > since) {
            update.changed.push_back(object);
        }
    }
    for (const auto& removed : removals_) {
        if (!complete && removed.as_of > since) {
            update.removed.push_back(removed.object);
        }
    }
    return update;
}

// A reset while the update was on its way leaves nothing to add it to: the few objects that changed would be
// taken for all.
void feed::apply_update(feed_update update, time_point requested_at)
{
    if (!reaches(update.since)) {
        return;
    }
    confirm(requested_at);
    if (update.as_of < as_of_) {
        // The sender's watch started at an earlier revision and has seen no change since. Not to count that
        // as a confirmation would make this copy stale and cause a full listing each second.
        return;
    }
    for (auto& removed : update.removed) {
        record_removal(removed, update.as_of);
        changed_as_of_ = std::max(changed_as_of_, update.as_of);
        apply({std::move(removed), true});
    }
    for (auto& object : update.changed) {
        apply({std::move(object), false});
    }
    if (update.names) {
        remove_absent([&update](const std::string& name) { return update.names->contains(name); },
                      update.as_of);
        discard_removals(update.as_of);
    }
    advance(update.as_of);
}

void feed::reset()
{
    const auto previous = std::exchange(objects_, {});
    removals_.clear();
    as_of_ = 0;
    changed_as_of_ = 0;
    removals_since_ = 0;
    synced_ = false;
    grace_ = {};
    for (const auto& [name, object] : previous) {
        on_change_({object, true});
    }
}

json to_json(const feed_update& update)
{
    json document;
    document["as_of"] = update.as_of;
    for (const auto& object : update.changed) {
        document["changed"].push_back(to_json(object));
    }
    for (const auto& object : update.removed) {
        document["removed"].push_back(to_json(object));
    }
    if (update.names) {
        document["names"] = *update.names;
    }
    return document;
}

result<feed_update> feed_update_from_json(const json& document)
{
    error malformed{error_code::unavailable, run_state::in_doubt, "malformed feed update from a gateway"};
    return decode<feed_update>(document, std::move(malformed), [](const json& from) {
        feed_update update;
        update.as_of = unsigned_at(from, "as_of");
        for (const auto& object : member_or_null(from, "changed")) {
            update.changed.push_back(listed_object_from_json(object, update.as_of));
        }
        for (const auto& object : member_or_null(from, "removed")) {
            update.removed.push_back(listed_object_from_json(object, update.as_of));
        }
        if (const auto names = from.find("names"); names != from.end()) {
            update.names = names->get<std::set<std::string>>();
        }
        return update;
    });
}

} // namespace vanillagauge::gateway
