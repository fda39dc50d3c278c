#include "keeper/config_feed.hpp"

#include "observe/log.hpp"

#include <algorithm>
#include <random>

namespace vanillagauge::keeper {
namespace {

constexpr milliseconds watch_wait{10000};
/// Gives a starting VM time to discover its peers.
constexpr milliseconds start_delay{300};
constexpr milliseconds tick_interval{100};
constexpr milliseconds initial_backoff{500};
constexpr milliseconds max_backoff{8000};
constexpr int max_doublings = 5;
constexpr int failures_before_handover = 3;

} // namespace

const std::vector<std::string>& config_kinds()
{
    static const std::vector<std::string> kinds{"deployment", "job", "drain"};
    return kinds;
}

bool is_config_kind(const std::string& kind)
{
    const auto& kinds = config_kinds();
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

config::object to_config(const objects::stored_object& item)
{
    return {item.kind, item.name, item.version, item.value, item.deleted};
}

void config_feed::merge_events(const std::vector<objects::stored_object>& items)
{
    std::vector<config::object> objects;
    for (const auto& item : items) {
        if (is_config_kind(item.kind)) {
            objects.push_back(to_config(item));
        }
    }
    state_.merge_config(objects, config::object_source::store);
}

void config_feed::start()
{
    loop_.after(start_delay, [this] { tick(); });
}

// A starting VM pulls from its peers and calls the store only if it is chosen as a watcher. Otherwise,
// after an outage, hundreds of VMs would list the complete configuration at once.
void config_feed::tick()
{
    loop_.after(tick_interval, [this] { tick(); });
    if (in_progress_ || !state_.is_watcher()) {
        listed_ = listed_ && in_progress_;
        return;
    }
    in_progress_ = true;
    if (listed_) {
        watch();
    }
    else {
        list(0, 0, [this](const result<std::uint64_t>& revision) {
            loop_.post([this, revision] {
                if (!ok(revision)) {
                    failed(failure(revision), false);
                    return;
                }
                watch_revision_ = value(revision);
                listed_ = true;
                succeeded();
            });
        });
    }
}

void config_feed::succeeded()
{
    failures_ = 0;
    in_progress_ = false;
    state_.set_watch_failing(false);
}

void config_feed::failed(const error& failure, bool watching)
{
    // The local call budget is exhausted, which is no failure of the store: retry after the delay.
    if (failure.code == error_code::overloaded) {
        loop_.after(failure.retry_after, [this] { in_progress_ = false; });
        return;
    }
    observe::log(observe::log_level::warning, watching ? "store_watch_failed" : "store_list_failed",
                 {{"detail", failure.detail}});
    ++failures_;
    // Hands the watch over to a VM that may still reach the store. If all fail, all remain candidates.
    state_.set_watch_failing(failures_ >= failures_before_handover);
    listed_ = listed_ && !watching; // a failed watch may have lost events: list before the next
    thread_local std::mt19937_64 random{std::random_device{}()};
    const auto doubled = initial_backoff * (1 << std::min(failures_, max_doublings));
    const auto max = std::min<milliseconds>(doubled, max_backoff);
    const milliseconds backoff{random() % static_cast<std::uint64_t>(max.count())};
    loop_.after(backoff, [this] { in_progress_ = false; });
}

void config_feed::list_once()
{
    list(0, 0, [](const result<std::uint64_t>&) {});
}

// The watch resumes from the first listing's revision: changes made while the other kinds were listed are
// delivered again, and the higher version wins.
void config_feed::list(std::size_t index, std::uint64_t revision,
                       std::function<void(result<std::uint64_t>)> on_done)
{
    const auto& kind = config_kinds()[index];
    store_.list(kind, [this, index, revision, kind,
                       on_done = std::move(on_done)](const result<objects::listing>& reply) mutable {
        if (!ok(reply)) {
            on_done(failure(reply));
            return;
        }
        std::vector<config::object> objects;
        for (const auto& item : value(reply).objects) {
            objects.push_back(to_config(item));
        }
        state_.merge_listing(kind, objects, value(reply).revision);
        const auto first = index == 0 ? value(reply).revision : revision;
        if (index + 1 == config_kinds().size()) {
            on_done(first);
            return;
        }
        list(index + 1, first, std::move(on_done));
    });
}

void config_feed::watch()
{
    store_.watch(config_kinds(), watch_revision_, watch_wait,
                 [this](const result<objects::watch_events>& reply) {
                     loop_.post([this, reply] {
                         if (!ok(reply)) {
                             failed(failure(reply), true);
                             return;
                         }
                         if (value(reply).compacted) {
                             listed_ = false;
                         }
                         else {
                             merge_events(value(reply).objects);
                             watch_revision_ = value(reply).revision;
                         }
                         succeeded();
                     });
                 });
}

} // namespace vanillagauge::keeper
