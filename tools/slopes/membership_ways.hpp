/// Two simpler failure detectors, simulated over a fleet for comparison; see docs/design/fleet.md.
#ifndef VANILLAGAUGE_TOOLS_SLOPES_MEMBERSHIP_WAYS_HPP
#define VANILLAGAUGE_TOOLS_SLOPES_MEMBERSHIP_WAYS_HPP

#include "base/base.hpp"

#include <cstddef>
#include <vector>

namespace vanillagauge::slopes {

/// Cost and detection time of a protocol at one fleet size.
struct protocol_figures {
    double messages_per_second = 0;     ///< sent by a node, mean
    double bytes_per_second = 0;        ///< sent by a node, mean
    double max_bytes_per_second = 0;    ///< sent by the busiest node
    double processor_us_per_second = 0; ///< of a node
    milliseconds detected_mean{0};      ///< from a death until all others consider the node dead
    milliseconds detected_max{0};
    milliseconds key_node_detected{0}; ///< the same for the node whose loss affects most others
};

/// Every node sends a heartbeat to every other each 500 ms; three missed in a row mean death.
protocol_figures direct_heartbeats(std::size_t nodes);
/// Nodes send heartbeats to the head of their failure domain, the heads to each other, and each
/// forwards every change to its members.
protocol_figures domain_tree(std::size_t nodes, std::size_t domains);

} // namespace vanillagauge::slopes

#endif
