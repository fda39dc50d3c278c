/// Converts between the schema's messages and the types of the fleet and config libraries.
#ifndef VANILLAGAUGE_NODE_CONVERT_HPP
#define VANILLAGAUGE_NODE_CONVERT_HPP

#include "config/replica.hpp"
#include "fleet/datagram.hpp"
#include "fleet/membership.hpp"

#include "vanillagauge.pb.h"

namespace vanillagauge::node {

v1::ProcessInfo to_message(const fleet::process& item);
fleet::process from_message(const v1::ProcessInfo& message);
v1::NodeInfo to_message(const fleet::node& item);
fleet::node from_message(const v1::NodeInfo& message);
v1::NodeStatus to_message(const fleet::member& item);
fleet::member from_message(const v1::NodeStatus& message);
v1::MemberClaim to_message(const fleet::member_update& item);
fleet::member_update from_message(const v1::MemberClaim& message);
v1::MemberSummary to_message(const fleet::member_summary& item);
fleet::member_summary from_message(const v1::MemberSummary& message);
v1::Datagram to_message(const fleet::datagram& item);
fleet::datagram from_message(const v1::Datagram& message);
v1::ConfigEntry to_message(const config::object& item);
config::object from_message(const v1::ConfigEntry& message);

} // namespace vanillagauge::node

#endif
