/// Keeps all feeds of a gateway up to date: a few gateways watch the store, the others ask those in turn. On
/// the same way they tell each other of requests that crash replicas.
#ifndef VANILLAGAUGE_GATEWAY_FEED_SYNC_HPP
#define VANILLAGAUGE_GATEWAY_FEED_SYNC_HPP

#include "gateway/feed.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/internal/sync_messages.hpp"
#include "gateway/peer_relay.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// What a gateway follows only while it watches for the others is not asked of them at other times.
struct feed_registration {
    feed* content = nullptr;
    bool needed_here = true;
};

class feed_sync {
public:
    /// All must outlive it; the feeds' order decides which one tries the store first after a failure.
    feed_sync(net::loop& loop, object_store& direct, peer_relay& peers, fleet_view& fleet,
              policy::quarantine& crashes, const std::vector<feed_registration>& feeds);

    // Commands.
    void start();
    /// The store is another one: no watch that waits at the one before is waited for.
    void restart_watches();
    /// Answers a gateway that asks for news: waits until there is some, or for at most the time it names.
    net::task<net::http_response> serve(const net::http_request& request);

    // Queries.
    /// When the store was last found not to serve, here or for the gateways that watch; the epoch: never.
    time_point last_failure() const { return last_failure_; }

private:
    /// A watch under way, shared with the task that waits for it.
    struct watch_call {
        std::optional<result<object_changes>> answer;
    };
    /// Counts of changes to the crashes that two gateways know.
    struct crash_revisions {
        std::uint64_t sent = 0;     ///< of this gateway's, the other knows so far
        std::uint64_t received = 0; ///< of the other's, this one knows so far
    };
    struct synced_feed {
        feed* content = nullptr;
        bool needed_here = true;
        bool listed = false;          ///< its revision may be watched from
        bool store_reachable = false; ///< its last call to the store succeeded
    };
    net::loop& loop_;
    object_store& direct_;
    peer_relay& peers_;
    fleet_view& fleet_;
    policy::quarantine& crashes_;
    std::map<std::string, crash_revisions> crash_revisions_; ///< by the other gateway's address
    std::vector<synced_feed> feeds_;
    net::async_condition changed_;
    net::async_condition watch_ended_; ///< a watch has its answer, or the store was found silent
    std::string source_;               ///< where news came from last: "store", a relay's address, or nothing
    std::size_t next_peer_ = 0;
    time_point last_failure_{};
    bool store_down_ = false;
    time_point last_answer_{};           ///< of the store, to any call
    std::uint64_t watch_generation_ = 0; ///< how often the store was found silent or replaced

    net::task<void> sync_from_store(std::size_t index);
    net::task<bool> list(synced_feed& entry);
    net::task<bool> watch(synced_feed& entry);
    net::task<void> run_watch(std::string kind, std::uint64_t since, std::shared_ptr<watch_call> call);
    net::task<void> ping_store();
    net::task<void> poll_peers();
    net::task<bool> poll_peer(std::string address);
    /// True where the answer had something new.
    bool apply_response(internal::sync_response answer, time_point requested_at);
    bool has_updates(const internal::sync_request& request) const;
    const feed* find(const std::string& kind) const;
    std::vector<std::string> watchers() const;
    bool should_watch() const;
    bool store_reachable() const;
    time_point confirmed_at() const;
    void set_source(const std::string& source);
    void record_failure(const error& why);
};

} // namespace vanillagauge::gateway

#endif
