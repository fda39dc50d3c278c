/// The datagrams that keepers exchange for failure detection and gossip.
#ifndef VANILLAGAUGE_FLEET_DATAGRAM_HPP
#define VANILLAGAUGE_FLEET_DATAGRAM_HPP

#include "fleet/node.hpp"

#include <string>
#include <vector>

namespace vanillagauge::fleet {

enum class datagram_kind { ping, ack, relay_request, gossip };

/// Identifies the sender's configuration; the failure detector only carries it.
struct config_mark {
    std::uint64_t digest = 0;
    std::uint64_t newest_version = 0;
};

struct datagram {
    datagram_kind kind = datagram_kind::ping;
    std::string from;           ///< the sender's VM
    std::string from_address{}; ///< where the sender receives datagrams
    std::string from_peer_address{};
    std::string to; ///< the intended VM; another VM at this address does not reply
    std::uint64_t sequence = 0;
    std::string relay_vm{}; ///< relay_request: the VM to ping
    std::string relay_address{};
    std::uint64_t members_digest = 0;
    config_mark config{};
    std::vector<member_update> updates{};
};

/// An upper estimate of the bytes on the network, with IP and UDP headers and the authentication code.
std::size_t estimated_size(const datagram& message);

} // namespace vanillagauge::fleet

#endif
