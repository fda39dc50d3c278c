/// The messages of the failure detector between keepers.
#ifndef VANILLAGAUGE_FLEET_DATAGRAM_HPP
#define VANILLAGAUGE_FLEET_DATAGRAM_HPP

#include "fleet/node.hpp"

#include <string>
#include <vector>

namespace vanillagauge::fleet {

enum class datagram_kind { ping, ack, relay_request, gossip };

/// Says which configuration the sender holds; the detector only carries it.
struct config_mark {
    std::uint64_t digest = 0;
    std::uint64_t newest_version = 0;
};

struct datagram {
    datagram_kind kind = datagram_kind::ping;
    std::string from;           ///< the sender's VM
    std::string from_address{}; ///< where it receives datagrams
    std::string from_peer_address{};
    std::string to; ///< the VM that is meant; another one at this address stays silent
    std::uint64_t sequence = 0;
    std::string relay_vm{}; ///< relay_request: whom to ping
    std::string relay_address{};
    std::uint64_t members_digest = 0;
    config_mark config{};
    std::vector<member_update> updates{};
};

/// An upper estimate of the bytes on the network, with the IP and UDP headers and the authentication.
std::size_t estimated_size(const datagram& message);

} // namespace vanillagauge::fleet

#endif
