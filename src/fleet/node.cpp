#include "fleet/node.hpp"

#include <tuple>

namespace vanillagauge::fleet {
namespace {

/// Tags, lengths, numbers and flags of an encoded update and of an encoded process.
constexpr std::size_t update_overhead = 32;
constexpr std::size_t process_overhead = 32;

} // namespace

std::string_view name(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::left:
        return "left";
    case member_state::dead:
        break;
    }
    return "dead";
}

bool supersedes(const member_update& left, const member_update& right)
{
    const auto rank = [](const member_update& update) {
        return std::tuple(update.info.incarnation, update.info.heartbeat, update.state);
    };
    return rank(left) > rank(right);
}

std::size_t estimated_size(const member_update& update)
{
    std::size_t bytes = update_overhead + update.info.vm.size();
    if (update.state != member_state::alive) {
        return bytes;
    }
    const auto& info = update.info;
    bytes += info.failure_domain.size() + info.peer_address.size() + info.operator_address.size() +
             info.datagram_address.size();
    for (const auto& program : info.processes) {
        bytes += process_overhead + program.role.size() + program.http_address.size() +
                 program.peer_address.size();
    }
    return bytes;
}

} // namespace vanillagauge::fleet
