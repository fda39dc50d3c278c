/// What a keeper holds: the members, the configuration, and the programs of its VM.
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

/// The members with the generation that they belong to.
struct members_view {
    std::vector<fleet::member> members;
    std::uint64_t generation = 0;
    bool isolated = false;
};

/// Safe for several threads; members and configuration are each under their own lock.
class keeper_state {
public:
    keeper_state(fleet::node self, time_point now);

    // Commands.
    /// Runs `handler` after every change, outside all locks.
    void on_change(std::function<void()> handler) { handler_ = std::move(handler); }
    /// Takes the bound addresses, which every statement carries; call before the first tick.
    void set_addresses(const keeper_addresses& addresses);
    bool merge_config(const std::vector<config::object>& incoming,
                      config::object_source source = config::object_source::peer);
    void merge_listing(const std::string& kind, const std::vector<config::object>& listed,
                       std::uint64_t revision);
    /// Notes that a program of this VM is there.
    void update_process(const fleet::process& program, time_point now);
    void set_watch_failing(bool failing) { watch_failing_ = failing; }
    /// Judges members and programs; call each 50 to 100 ms.
    fleet::detector_actions tick(time_point now);
    fleet::detector_actions receive(const fleet::datagram& message, time_point now);
    fleet::detector_actions leave(time_point now);
    void merge_updates(const std::vector<fleet::member_update>& updates, time_point now);

    // Queries.
    std::vector<fleet::member> members() const;
    members_view view() const;
    std::size_t member_count() const;
    std::uint64_t members_generation() const;
    fleet::node self() const;
    std::vector<fleet::member_summary> summary() const;
    fleet::view_difference compare(const std::vector<fleet::member_summary>& theirs) const;
    std::vector<fleet::member_update> updates_for(const std::vector<std::uint64_t>& wanted) const;
    /// One of the VMs that watch the store for the fleet.
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
    /// The choice of watchers takes a hash of every member; it is made again only when a member changed.
    mutable std::uint64_t watcher_generation_ = 0;
    mutable bool is_watcher_ = false;
    mutable std::mutex config_mutex_;
    config::replica config_;
    std::atomic<bool> watch_failing_{false};

    void notify_change() const;
    /// Both under the members' lock.
    void announce(bool drains, const config::replica_mark& mark, time_point now);
    bool update_generation();
};

} // namespace vanillagauge::keeper

#endif
