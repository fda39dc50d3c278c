/// Keeps a gateway's feeds up to date: a few gateways watch the store, the others poll those in turn. The
/// same polls exchange records of requests that crash replicas.
#ifndef VANILLAGAUGE_GATEWAY_FEED_SYNC_HPP
#define VANILLAGAUGE_GATEWAY_FEED_SYNC_HPP

#include "gateway/feed.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/internal/sync_messages.hpp"
#include "gateway/peer_relay.hpp"
#include "policy/feed_plan.hpp"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

struct feed_registration {
    feed* content = nullptr;
    bool needed_here = true; ///< false: synced only while this gateway serves the feeds to others
    policy::feed_pace pace = policy::feed_pace::steady;
};

class feed_sync {
public:
    /// All must outlive it. After a failure the first of `feeds` alone retries the store.
    feed_sync(net::loop& loop, object_store& direct, peer_relay& peers, fleet_view& fleet,
              policy::quarantine& crashes, const std::vector<feed_registration>& feeds);

    void start();
    /// Abandons pending watches and lists again, after a change of the store's address.
    void restart_watches();
    /// Waits, at most until `until`, for a copy of the kind that is young enough to act upon. Returns at once
    /// if it is, or if the store was asked for it in vain.
    net::task<void> refresh(std::string kind, time_point until);
    /// Serves a long poll: waits for an update, at most as long as the request allows.
    net::task<net::http_response> serve(const net::http_request& request);

private:
    /// A pending watch, shared with the task that runs it.
    struct watch_call {
        std::optional<result<object_changes>> answer;
    };
    enum class poll_result {
        current,    ///< all copies whose changes are to be in force soon
        behind,     ///< the peer's own copies are too old
        unreachable ///< no response, or none that could be read
    };
    /// Positions up to which two gateways have exchanged their crash records.
    struct crash_revisions {
        std::uint64_t sent = 0;     ///< of this gateway's records
        std::uint64_t received = 0; ///< of the peer's records
    };
    struct synced_feed {
        feed* content = nullptr;
        bool needed_here = true;
        policy::feed_pace pace = policy::feed_pace::steady;
        bool listed = false;                     ///< a watch may start from its revision
        bool store_reachable = false;            ///< its last call to the store succeeded
        std::optional<time_point> asked_since{}; ///< when it was first listed in vain; none: it was not
        std::optional<time_point> relist_at{};   ///< when to list for changes that could not be read
        time_point relisted_at{};                ///< the last such listing
        std::size_t left_out = 0;                ///< objects of the last listing
    };
    net::loop& loop_;
    object_store& direct_;
    peer_relay& peers_;
    fleet_view& fleet_;
    policy::quarantine& crashes_;
    std::map<std::string, crash_revisions> crash_revisions_; ///< by peer address
    std::vector<synced_feed> feeds_;
    net::async_condition changed_;
    net::async_condition watch_ended_; ///< a watch was answered or abandoned
    std::string source_;               ///< of the last update: "store", a peer's address, or empty
    std::size_t next_source_ = 0;      ///< changes when a source fails
    time_point substitutes_until_{};   ///< other gateways are polled in place of the planned sources
    time_point started_;
    std::size_t peers_met_ = 0;
    time_point last_met_{};
    bool store_down_ = false;
    time_point last_failure_{};          ///< of a call to the store, made here
    std::uint64_t watch_generation_ = 0; ///< incremented to abandon pending watches
    std::mt19937_64 random_{std::random_device{}()};

    net::task<void> sync_from_store(std::size_t index);
    bool needs_listing(const synced_feed& entry) const;
    net::task<bool> list(synced_feed& entry);
    net::task<bool> watch(synced_feed& entry);
    net::task<void> run_watch(std::string kind, std::uint64_t since, milliseconds wait,
                              std::shared_ptr<watch_call> call);
    /// Notes objects of a listing of which not even the name is known.
    static void note_left_out(synced_feed& entry, std::size_t objects);
    /// Has the objects listed after changes of objects that are not known.
    static void list_for_left_out(synced_feed& entry, std::size_t changes);
    /// Lists the objects in place of a watch that has no answer.
    net::task<bool> replace_watch(synced_feed& entry, time_point requested_at, milliseconds wait);
    duration retry_delay();
    net::task<void> poll_peers();
    net::task<poll_result> poll_peer(std::string address, milliseconds poll_time);
    bool polls_substitutes() const { return steady::now() < substitutes_until_; }
    /// The relay address of the gateway to poll next; empty if there is none.
    std::string source_address() const;
    /// Chooses another source, and substitutes if the source is out of reach and the copies are old.
    void change_source(poll_result last);
    /// `since`: what this gateway asked for, by kind. Returns whether anything changed.
    bool apply_response(internal::sync_response response, const std::map<std::string, std::uint64_t>& since,
                        time_point requested_at);
    bool has_updates(const internal::sync_request& request) const;
    const synced_feed* find(const std::string& kind) const;
    /// The revisions of all copies, in the order of the feeds.
    std::vector<std::uint64_t> revisions() const;
    policy::feed_plan plan() const;
    /// Whether this gateway has just started and its peers still appear.
    bool is_meeting_peers();
    bool should_watch(const synced_feed& entry);
    bool is_needed(const synced_feed& entry) const { return entry.needed_here || plan().serves(); }
    /// Whether the store has answered the last call of each feed that is watched here; false if none is.
    bool watches_store() const;
    duration age_of(const synced_feed& entry) const;
    bool is_usable(const synced_feed& entry) const;
    bool is_served(const synced_feed& entry) const;
    /// Whether a copy whose changes are to be in force soon is so old that this gateway asks the store for
    /// it.
    bool is_behind() const;
    /// Whether all requested copies are served whose changes are to be in force soon.
    bool is_current(const internal::sync_request& request) const;
    time_point confirmed_at() const;
    void set_source(const std::string& source);
    void record_failure(const error& why);
    void note_failure(time_point failed_at);
};

} // namespace vanillagauge::gateway

#endif
