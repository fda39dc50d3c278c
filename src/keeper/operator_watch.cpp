#include "keeper/operator_watch.hpp"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <vector>

namespace vanillagauge::keeper {
namespace {

constexpr milliseconds max_watch_time{30000};
/// Bounds the memory of pending requests, which a stopped loop would not expire; further requests are
/// answered at once.
constexpr std::size_t max_watches = 256;

bool matches(const std::string& kind, const config::object& item)
{
    return kind.empty() || kind == item.kind;
}

} // namespace

v1::Object to_operator_object(const config::object& item)
{
    v1::Object object;
    object.set_kind(item.kind);
    object.set_name(item.name);
    object.set_version(item.version);
    object.set_deleted(item.deleted);
    const auto status = google::protobuf::util::JsonStringToMessage(item.spec_json, object.mutable_spec());
    if (!status.ok()) {
        object.clear_spec();
    }
    return object;
}

void operator_watch::wait(const v1::WatchRequest& request, v1::WatchReply* reply,
                          google::protobuf::Closure* done)
{
    // Revisions are local to a keeper process. One beyond the current revision is from another process, and
    // waiting for it would hide every change until it is reached.
    const bool other_incarnation = request.since_revision() > state_.config_revision();
    const pending_watch watcher{request.kind(), other_incarnation ? 0 : request.since_revision(), reply,
                                done};
    const auto wait_time = std::clamp(milliseconds{request.wait_ms()}, milliseconds{0}, max_watch_time);
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(mutex_);
        // Checked under the lock of `notify`: a change in between would stay unnoticed until the next one.
        if (!stopped_ && wait_time.count() > 0 && pending_.size() < max_watches && !has_changes(watcher)) {
            id = ++next_id_;
            pending_[id] = watcher;
        }
    }
    if (id == 0) {
        answer(watcher);
        return;
    }
    loop_.after(wait_time, [this, id] { expire(id); });
}

bool operator_watch::has_changes(const pending_watch& watcher) const
{
    const auto changes = state_.config_changes_since(watcher.since);
    return std::any_of(changes.begin(), changes.end(),
                       [&watcher](const config::object& item) { return matches(watcher.kind, item); });
}

void operator_watch::answer(const pending_watch& watcher) const
{
    // Read the revision first: a change in between is delivered again by the next watch instead of lost.
    watcher.reply->set_revision(state_.config_revision());
    for (const auto& item : state_.config_changes_since(watcher.since)) {
        if (matches(watcher.kind, item)) {
            *watcher.reply->add_objects() = to_operator_object(item);
        }
    }
    watcher.done->Run();
}

void operator_watch::expire(std::uint64_t id)
{
    pending_watch watcher;
    {
        const std::lock_guard lock(mutex_);
        const auto found = pending_.find(id);
        if (found == pending_.end()) {
            return;
        }
        watcher = found->second;
        pending_.erase(found);
    }
    answer(watcher);
}

void operator_watch::notify()
{
    std::vector<pending_watch> ready;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(pending_, [this, &ready](const auto& entry) {
            const bool changed = has_changes(entry.second);
            if (changed) {
                ready.push_back(entry.second);
            }
            return changed;
        });
    }
    for (const auto& watcher : ready) {
        answer(watcher);
    }
}

void operator_watch::stop()
{
    std::map<std::uint64_t, pending_watch> all;
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        all.swap(pending_);
    }
    for (const auto& [id, watcher] : all) {
        answer(watcher);
    }
}

} // namespace vanillagauge::keeper
