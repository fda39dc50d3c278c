#include "node/convert.hpp"

namespace vanillagauge::node {
namespace {

fleet::member_state parse_state(const std::string& text)
{
    if (text == "alive") {
        return fleet::member_state::alive;
    }
    return text == "suspect" ? fleet::member_state::suspect : fleet::member_state::dead;
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
    return message;
}

fleet::member from_message(const v1::NodeStatus& message)
{
    return {from_message(message.info()), parse_state(message.state()), {}};
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
