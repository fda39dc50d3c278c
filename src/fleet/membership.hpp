/// The view one VM has of the others, from heartbeats that are spread by gossip.
#ifndef VANILLAGAUGE_FLEET_MEMBERSHIP_HPP
#define VANILLAGAUGE_FLEET_MEMBERSHIP_HPP

#include "base/base.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillagauge::fleet {

enum class member_state { alive, suspect, dead };

std::string_view name(member_state state);

/// One process of the system on a VM.
struct process {
    std::string role; ///< entry, rollout
    std::uint64_t incarnation = 0;
    std::string http_address;
    std::string peer_address;
    bool draining = false;
    double load = 0;

    friend bool operator==(const process&, const process&) = default;
};

/// What a VM's keeper says of its VM. The pair (incarnation, heartbeat) only grows.
struct node {
    std::string vm;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    std::string peer_address;
    std::string operator_address;
    std::vector<process> processes;
    bool draining = false;
    std::uint64_t config_version = 0;
};

struct membership_timing {
    milliseconds suspect_after{1500};
    milliseconds dead_after{3000};
    milliseconds forget_after{600000};
};

struct member {
    node info;
    member_state state = member_state::alive;
    time_point last_progress; ///< when the heartbeat last grew, by this VM's clock
};

class membership {
public:
    membership(node self, membership_timing timing, time_point now);

    const node& self() const { return members_.at(self_vm_).info; }
    /// Grows the own heartbeat and takes over the caller's changes to the own entry.
    void beat(const node& self, time_point now);
    /// Takes what a peer says of a VM; true where it was news.
    bool merge(const node& said, time_point now);
    /// Re-judges all by the time since their last progress; true where a state changed.
    bool tick(time_point now);

    std::vector<member> members() const;
    std::vector<node> all_known() const;

private:
    std::string self_vm_;
    membership_timing timing_;
    std::map<std::string, member> members_;
};

} // namespace vanillagauge::fleet

#endif
