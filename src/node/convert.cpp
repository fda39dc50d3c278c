#include "node/convert.hpp"

namespace vanillagauge::node {
namespace {

fleet::member_state parse_state(const std::string& text)
{
    if (text == "alive") {
        return fleet::member_state::alive;
    }
    if (text == "left") {
        return fleet::member_state::left;
    }
    return text == "suspect" ? fleet::member_state::suspect : fleet::member_state::dead;
}

/// An unknown state counts as suspect, which the failure detector resolves by itself.
fleet::member_state parse_state(std::uint32_t number)
{
    const bool known = number <= static_cast<std::uint32_t>(fleet::member_state::left);
    return known ? static_cast<fleet::member_state>(number) : fleet::member_state::suspect;
}

fleet::datagram_kind parse_kind(std::uint32_t number)
{
    const bool known = number <= static_cast<std::uint32_t>(fleet::datagram_kind::gossip);
    return known ? static_cast<fleet::datagram_kind>(number) : fleet::datagram_kind::gossip;
}

} // namespace

v1::ProcessInfo to_message(const fleet::process& item)
{
    v1::ProcessInfo message;
    message.set_role(item.role);
    message.set_incarnation(item.incarnation);
    message.set_http_address(item.http_address);
    message.set_peer_address(item.peer_address);
    message.set_draining(item.draining);
    message.set_load(item.load);
    return message;
}

fleet::process from_message(const v1::ProcessInfo& message)
{
    return {message.role(),         message.incarnation(), message.http_address(),
            message.peer_address(), message.draining(),    message.load()};
}

v1::NodeInfo to_message(const fleet::node& item)
{
    v1::NodeInfo message;
    message.set_vm(item.vm);
    message.set_failure_domain(item.failure_domain);
    message.set_incarnation(item.incarnation);
    message.set_heartbeat(item.heartbeat);
    message.set_peer_address(item.peer_address);
    message.set_operator_address(item.operator_address);
    message.set_draining(item.draining);
    message.set_config_revision(item.config_version);
    message.set_datagram_address(item.datagram_address);
    message.set_watch_failing(item.watch_failing);
    message.set_capacity(item.capacity);
    for (const auto& process : item.processes) {
        *message.add_processes() = to_message(process);
    }
    return message;
}

fleet::node from_message(const v1::NodeInfo& message)
{
    fleet::node item;
    item.vm = message.vm();
    item.failure_domain = message.failure_domain();
    item.incarnation = message.incarnation();
    item.heartbeat = message.heartbeat();
    item.peer_address = message.peer_address();
    item.operator_address = message.operator_address();
    item.draining = message.draining();
    item.config_version = message.config_revision();
    item.datagram_address = message.datagram_address();
    item.watch_failing = message.watch_failing();
    item.capacity = message.capacity();
    for (const auto& process : message.processes()) {
        item.processes.push_back(from_message(process));
    }
    return item;
}

v1::NodeStatus to_message(const fleet::member& item)
{
    v1::NodeStatus message;
    *message.mutable_info() = to_message(item.info);
    message.set_state(std::string(fleet::name(item.state)));
    message.set_since_ms(milliseconds_between(item.since, steady::now()).count());
    return message;
}

fleet::member from_message(const v1::NodeStatus& message)
{
    const auto since = steady::now() - milliseconds{message.since_ms()};
    return {from_message(message.info()), parse_state(message.state()), since};
}

v1::MemberClaim to_message(const fleet::member_update& item)
{
    v1::MemberClaim message;
    *message.mutable_info() = to_message(item.info);
    message.set_state(static_cast<std::uint32_t>(item.state));
    return message;
}

fleet::member_update from_message(const v1::MemberClaim& message)
{
    return {from_message(message.info()), parse_state(message.state())};
}

v1::MemberSummary to_message(const fleet::member_summary& item)
{
    v1::MemberSummary message;
    message.set_vm_hash(item.vm_hash);
    message.set_incarnation(item.incarnation);
    message.set_heartbeat(item.heartbeat);
    message.set_state(static_cast<std::uint32_t>(item.state));
    return message;
}

fleet::member_summary from_message(const v1::MemberSummary& message)
{
    return {message.vm_hash(), message.incarnation(), message.heartbeat(), parse_state(message.state())};
}

v1::Datagram to_message(const fleet::datagram& item)
{
    v1::Datagram message;
    message.set_kind(static_cast<std::uint32_t>(item.kind));
    message.set_from(item.from);
    message.set_from_address(item.from_address);
    message.set_from_peer_address(item.from_peer_address);
    message.set_to(item.to);
    message.set_sequence(item.sequence);
    message.set_relay_vm(item.relay_vm);
    message.set_relay_address(item.relay_address);
    message.set_members_digest(item.members_digest);
    message.set_config_digest(item.config.digest);
    message.set_config_newest_version(item.config.newest_version);
    for (const auto& update : item.updates) {
        *message.add_claims() = to_message(update);
    }
    return message;
}

fleet::datagram from_message(const v1::Datagram& message)
{
    fleet::datagram item;
    item.kind = parse_kind(message.kind());
    item.from = message.from();
    item.from_address = message.from_address();
    item.from_peer_address = message.from_peer_address();
    item.to = message.to();
    item.sequence = message.sequence();
    item.relay_vm = message.relay_vm();
    item.relay_address = message.relay_address();
    item.members_digest = message.members_digest();
    item.config = {message.config_digest(), message.config_newest_version()};
    for (const auto& claim : message.claims()) {
        item.updates.push_back(from_message(claim));
    }
    return item;
}

v1::ConfigEntry to_message(const config::object& item)
{
    v1::ConfigEntry message;
    message.set_kind(item.kind);
    message.set_name(item.name);
    message.set_version(item.version);
    message.set_spec_json(item.spec_json);
    message.set_deleted(item.deleted);
    return message;
}

config::object from_message(const v1::ConfigEntry& message)
{
    return {message.kind(), message.name(), message.version(), message.spec_json(), message.deleted()};
}

} // namespace vanillagauge::node
