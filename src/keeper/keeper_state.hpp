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

/// Safe for several threads; members and configuration are each under their own lock.
class keeper_state {
public:
    keeper_state(fleet::node self, time_point now);

    // Commands.
    /// Runs `handler` after every change, outside all locks.
    void on_change(std::function<void()> handler) { handler_ = std::move(handler); }
    /// Takes the bound addresses, which every heartbeat carries; call before the first beat.
    void set_addresses(const std::string& peer_address, const std::string& operator_address);
    bool merge_config(const std::vector<config::object>& incoming);
    void merge_nodes(const std::vector<fleet::node>& said, time_point now);
    /// Notes that a program of this VM is there.
    void hear(const fleet::process& program, time_point now);
    /// One heartbeat: judges the members and drops programs that went silent.
    void beat(time_point now);
    void set_store_up(bool up) { store_up_ = up; }

    // Queries.
    std::vector<fleet::member> members() const;
    std::vector<fleet::node> known_nodes() const;
    fleet::node self() const;
    std::vector<config::object> config_since(std::uint64_t revision) const;
    std::vector<config::object> config_list(const std::string& kind) const;
    std::optional<config::object> config_find(const std::string& kind, const std::string& name) const;
    std::uint64_t config_revision() const;
    std::uint64_t config_digest() const;
    bool draining() const;
    bool store_up() const { return store_up_; }
    std::uint64_t incarnation() const { return incarnation_; }

private:
    struct heard_program {
        fleet::process info;
        time_point last_heard;
    };
    const std::string vm_;
    const std::uint64_t incarnation_;
    std::function<void()> handler_;
    mutable std::mutex members_mutex_;
    fleet::membership membership_;
    std::map<std::string, heard_program> programs_;
    std::string peer_address_;
    std::string operator_address_;
    mutable std::mutex config_mutex_;
    config::replica config_;
    std::atomic<bool> store_up_{false};

    void changed() const;
};

} // namespace vanillagauge::keeper

#endif
