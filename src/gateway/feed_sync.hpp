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
struct chosen_feed {
    feed* content = nullptr;
    bool needed_here = true;
};

class feed_hub {
public:
    /// All must outlive it; the feeds' order decides which one tries the store first after a failure.
    feed_hub(net::loop& loop, object_store& direct, peer_relay& peers, fleet_view& fleet,
             policy::quarantine& crashes, const std::vector<chosen_feed>& feeds);

    // Commands.
    void start();
    /// The store is another one: no watch that waits at the one before is waited for.
    void start_over();
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
    struct exchange {
        std::uint64_t told = 0;  ///< of this gateway's, the other knows so far
        std::uint64_t heard = 0; ///< of the other's, this one knows so far
    };
    struct followed {
        feed* content = nullptr;
        bool needed_here = true;
        bool listed = false;  ///< its revision may be watched from
        bool serving = false; ///< its last call to the store succeeded
    };
    net::loop& loop_;
    object_store& direct_;
    peer_relay& peers_;
    fleet_view& fleet_;
    policy::quarantine& crashes_;
    std::map<std::string, exchange> exchanged_; ///< by the other gateway's address
    std::vector<followed> feeds_;
    net::signal changed_;
    net::signal watch_ended_; ///< a watch has its answer, or the store was found silent
    std::string source_;      ///< where news came from last: "store", a relay's address, or nothing
    std::size_t turn_ = 0;
    time_point last_failure_{};
    bool store_down_ = false;
    time_point last_answer_{};   ///< of the store, to any call
    std::uint64_t silences_ = 0; ///< how often the store was found silent or replaced

    net::task<void> follow_store(std::size_t place);
    net::task<bool> list(followed& entry);
    net::task<bool> watch(followed& entry);
    net::task<void> run_watch(std::string kind, std::uint64_t since, std::shared_ptr<watch_call> call);
    net::task<void> check_store();
    net::task<void> follow_peers();
    net::task<bool> ask_peer(std::string address);
    /// True where the answer had something new.
    bool take(internal::news_answer answer, time_point asked);
    bool has_news(const internal::news_question& question) const;
    const feed* find(const std::string& kind) const;
    std::vector<std::string> watchers() const;
    bool watches() const;
    bool serves() const;
    time_point confirmed() const;
    void note_source(const std::string& source);
    void note_failure(const error& why);
};

} // namespace vanillagauge::gateway

#endif
