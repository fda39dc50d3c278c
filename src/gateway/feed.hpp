/// A copy of one kind of the store's objects, kept up to date by a watch or through a gateway that watches.
#ifndef VANILLAGAUGE_GATEWAY_FEED_HPP
#define VANILLAGAUGE_GATEWAY_FEED_HPP

#include "gateway/fleet_view.hpp"
#include "gateway/object_store.hpp"
#include "gateway/peer_relay.hpp"
#include "net/signal.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillagauge::gateway {

/// Where a feed has its content from.
enum class feed_source { none, store, peer };

class feed {
public:
    using handler = std::function<void(const object_change&)>;

    /// All must outlive it. `on_change` runs for each change, also for those found by listing again.
    feed(net::loop& loop, std::string kind, object_store& direct, peer_relay& peers, const fleet_view& fleet,
         handler on_change);

    // Commands.
    /// Follows the kind until the loop ends.
    void start();
    /// Takes an object that this gateway itself has just written, without waiting for the watch.
    void take_own(stored_object object);
    /// Answers a gateway that asks what changed: waits until something did, or for at most the time it names.
    net::task<nlohmann::json> serve(const nlohmann::json& question);

    // Queries.
    const std::map<std::string, stored_object>& objects() const { return objects_; }
    /// The content was whole at least once.
    bool known() const { return known_; }
    /// For how long the content has not been confirmed.
    duration age(time_point now) const { return now - confirmed_; }
    /// When the store was last found not to serve this feed.
    time_point last_failure() const { return last_failure_; }
    const std::string& kind() const { return kind_; }

private:
    net::loop& loop_;
    std::string kind_;
    object_store& direct_;
    peer_relay& peers_;
    const fleet_view& fleet_;
    handler on_change_;
    net::signal changed_;
    std::map<std::string, stored_object> objects_;
    std::uint64_t as_of_ = 0;
    bool known_ = false;
    bool listed_ = false; ///< `as_of_` may be watched from
    feed_source source_ = feed_source::none;
    time_point confirmed_{};
    time_point last_failure_{};

    net::task<void> follow();
    net::task<bool> follow_store();
    net::task<bool> follow_peer(std::string relay_address);
    net::task<bool> list_all();
    std::vector<std::string> sources() const;
    bool is_watcher() const;
    void note_source(feed_source source, const std::string& from);
    void confirm(time_point asked);
    void apply(object_change change);
    void apply_snapshot(std::map<std::string, stored_object> listed, std::uint64_t as_of);
    void apply_sync(const nlohmann::json& answer);
};

} // namespace vanillagauge::gateway

#endif
