/// What a VM says of itself, and what others say of its state.
#ifndef VANILLAGAUGE_FLEET_NODE_HPP
#define VANILLAGAUGE_FLEET_NODE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace vanillagauge::fleet {

/// Where two claims name the same heartbeat, the later state in this order wins.
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

/// What a VM's keeper says of its VM. The pair (incarnation, heartbeat) grows with each statement.
struct node {
    std::string vm;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    std::string peer_address;
    std::string operator_address;
    std::vector<process> processes;
    bool draining = false;
    std::uint64_t config_version = 0; ///< the newest it is known to hold; not part of the statement
    std::string datagram_address{};
    bool watch_failing = false; ///< its watch of the store does not work: another should watch

    friend bool operator==(const node&, const node&) = default;
};

/// A claim about a VM. For a suspect or dead VM only the name, incarnation and heartbeat count.
struct member_update {
    node info;
    member_state state = member_state::alive;
};

/// Whether the left claim supersedes the right one about the same VM.
bool supersedes(const member_update& left, const member_update& right);

/// An upper estimate of the encoded size in bytes.
std::size_t estimated_size(const member_update& update);

} // namespace vanillagauge::fleet

#endif
