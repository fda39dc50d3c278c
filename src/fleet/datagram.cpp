#include "fleet/datagram.hpp"

namespace vanillagauge::fleet {
namespace {

constexpr std::size_t ip_and_udp_header = 28;
constexpr std::size_t authentication = 16;
constexpr std::size_t numbers_and_tags = 64;

} // namespace

std::size_t estimated_size(const datagram& message)
{
    std::size_t bytes = ip_and_udp_header + authentication + numbers_and_tags;
    for (const auto* text : {&message.from, &message.from_address, &message.from_peer_address, &message.to,
                             &message.relay_vm, &message.relay_address}) {
        bytes += text->size();
    }
    for (const auto& update : message.updates) {
        bytes += estimated_size(update);
    }
    return bytes;
}

} // namespace vanillagauge::fleet
