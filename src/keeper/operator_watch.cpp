#include "keeper/operator_watch.hpp"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <vector>

namespace vanillagauge::keeper {
namespace {

constexpr milliseconds longest_watch{30000};
/// A stopped loop would expire no watcher, and a burst of them must not keep answers in memory for ever.
constexpr std::size_t most_watchers = 256;

bool concerns(const std::string& kind, const config::object& item)
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
    // A revision counts for one life of the keeper. A number beyond the present one is from another life, and
    // waiting for it would hide every change until it is reached.
    const bool other_life = request.since_revision() > state_.config_revision();
    const waiting watcher{request.kind(), other_life ? 0 : request.since_revision(), reply, done};
    const auto longest = std::clamp(milliseconds{request.wait_ms()}, milliseconds{0}, longest_watch);
    std::uint64_t ticket = 0;
    {
        const std::lock_guard lock(mutex_);
        // Looked at under the lock that `wake` takes: a change in between would be missed until the next.
        if (!stopped_ && longest.count() > 0 && waiting_.size() < most_watchers && !has_news(watcher)) {
            ticket = ++next_ticket_;
            waiting_[ticket] = watcher;
        }
    }
    if (ticket == 0) {
        answer(watcher);
        return;
    }
    loop_.after(longest, [this, ticket] { expire(ticket); });
}

bool operator_watch::has_news(const waiting& watcher) const
{
    const auto changes = state_.config_changes_since(watcher.since);
    return std::any_of(changes.begin(), changes.end(),
                       [&watcher](const config::object& item) { return concerns(watcher.kind, item); });
}

void operator_watch::answer(const waiting& watcher) const
{
    // The revision first: a change after it comes again with the next watch, and none is lost.
    watcher.reply->set_revision(state_.config_revision());
    for (const auto& item : state_.config_changes_since(watcher.since)) {
        if (concerns(watcher.kind, item)) {
            *watcher.reply->add_objects() = to_operator_object(item);
        }
    }
    watcher.done->Run();
}

void operator_watch::expire(std::uint64_t ticket)
{
    waiting watcher;
    {
        const std::lock_guard lock(mutex_);
        const auto found = waiting_.find(ticket);
        if (found == waiting_.end()) {
            return;
        }
        watcher = found->second;
        waiting_.erase(found);
    }
    answer(watcher);
}

void operator_watch::wake()
{
    std::vector<waiting> ready;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(waiting_, [this, &ready](const auto& entry) {
            const bool news = has_news(entry.second);
            if (news) {
                ready.push_back(entry.second);
            }
            return news;
        });
    }
    for (const auto& watcher : ready) {
        answer(watcher);
    }
}

void operator_watch::stop()
{
    std::map<std::uint64_t, waiting> all;
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        all.swap(waiting_);
    }
    for (const auto& [ticket, watcher] : all) {
        answer(watcher);
    }
}

} // namespace vanillagauge::keeper
