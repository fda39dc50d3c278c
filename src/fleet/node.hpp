/// The information that a VM announces, and updates about its state.
#ifndef VANILLAGAUGE_FLEET_NODE_HPP
#define VANILLAGAUGE_FLEET_NODE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace vanillagauge::fleet {

/// Of two updates with the same incarnation and heartbeat the later state in this order wins.
enum class member_state { alive, suspect, dead, left };

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

/// What a VM's keeper announces of its VM. The pair (incarnation, heartbeat) is its version and only grows.
struct node {
    std::string vm;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    std::string peer_address;
    std::string operator_address;
    std::vector<process> processes;
    bool draining = false;
    std::uint64_t config_version = 0; ///< the newest it is known to hold; not versioned
    std::string datagram_address{};
    bool watch_failing = false; ///< its watch of the store fails; another VM should watch
    std::uint32_t capacity = 0; ///< processor for callers' work, thousandths of a core; 0: unknown or none

    friend bool operator==(const node&, const node&) = default;
};

/// An update about a VM. Unless it is alive only name, incarnation and heartbeat are used.
struct member_update {
    node info;
    member_state state = member_state::alive;
};

/// Whether `left` supersedes `right`, an update about the same VM.
bool supersedes(const member_update& left, const member_update& right);

/// An upper estimate of the encoded size in bytes.
std::size_t estimated_size(const member_update& update);

} // namespace vanillagauge::fleet

#endif
