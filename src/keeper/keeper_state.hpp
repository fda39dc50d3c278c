/// The state of a keeper: the members, the configuration, and the programs of its VM.
#ifndef VANILLAGAUGE_KEEPER_KEEPER_STATE_HPP
#define VANILLAGAUGE_KEEPER_KEEPER_STATE_HPP

#include "config/config.hpp"
#include "fleet/fleet.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace vanillagauge::keeper {

struct keeper_addresses {
    std::string peer;
    std::string operators;
    std::string datagrams;
};

/// A copy of the members and its generation.
struct members_view {
    std::vector<fleet::member> members;
    std::uint64_t generation = 0;
    bool isolated = false;
};

/// Thread-safe; the members and the configuration have a lock each.
class keeper_state {
public:
    keeper_state(fleet::node self, time_point now);

    /// Runs `handler` after every change, without holding a lock.
    void on_change(std::function<void()> handler) { handler_ = std::move(handler); }
    /// Sets the bound addresses announced to peers; call before the first tick.
    void set_addresses(const keeper_addresses& addresses);
    bool merge_config(const std::vector<config::object>& incoming,
                      config::object_source source = config::object_source::peer);
    void merge_listing(const std::string& kind, const std::vector<config::object>& listed,
                       std::uint64_t revision);
    /// Records the state that a program of this VM reports, as its heartbeat.
    void update_process(const fleet::process& program, time_point now);
    void set_watch_failing(bool failing) { watch_failing_ = failing; }
    /// Checks members and programs for timeouts; call every 50 to 100 ms.
    fleet::detector_actions tick(time_point now);
    fleet::detector_actions receive(const fleet::datagram& message, time_point now);
    fleet::detector_actions leave(time_point now);
    void merge_updates(const std::vector<fleet::member_update>& updates, time_point now);

    std::vector<fleet::member> members() const;
    members_view view() const;
    std::size_t member_count() const;
    std::uint64_t members_generation() const;
    fleet::node self() const;
    std::vector<fleet::member_summary> summary() const;
    fleet::view_difference compare(const std::vector<fleet::member_summary>& theirs) const;
    std::vector<fleet::member_update> updates_for(const std::vector<std::uint64_t>& wanted) const;
    /// Whether this VM is one of the few that watch the store for the fleet.
    bool is_watcher() const;
    std::vector<config::object> config_changes_since(std::uint64_t revision) const;
    std::vector<config::object> config_list(const std::string& kind) const;
    std::optional<config::object> config_find(const std::string& kind, const std::string& name) const;
    std::vector<config::object> config_newer_than(const std::vector<config::object_version>& held) const;
    std::vector<config::object_version> config_versions() const;
    std::uint64_t config_version_of(const std::string& kind, const std::string& name) const;
    std::uint64_t config_revision() const;
    config::replica_mark config_mark() const;
    bool draining() const;
    std::uint64_t incarnation() const { return incarnation_; }

private:
    struct observed_process {
        fleet::process info;
        time_point last_seen;
    };
    const std::string vm_;
    const std::uint64_t incarnation_;
    std::function<void()> handler_;
    mutable std::mutex members_mutex_;
    fleet::failure_detector detector_;
    std::map<std::string, observed_process> processes_;
    keeper_addresses addresses_;
    std::uint64_t notified_generation_ = 0;
    /// Choosing the watchers hashes every member, so the result is cached until the generation changes.
    mutable std::uint64_t watcher_generation_ = 0;
    mutable bool is_watcher_ = false;
    mutable std::mutex config_mutex_;
    config::replica config_;
    std::atomic<bool> watch_failing_{false};

    void notify_change() const;
    /// Requires the members' lock.
    void announce(bool drains, const config::replica_mark& mark, time_point now);
    /// True if the generation has changed since the last call. Requires the members' lock.
    bool update_generation();
};

} // namespace vanillagauge::keeper

#endif
