#include "gateway/connection_limits.hpp"

#include "observe/log.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <string>
#include <utility>

namespace vanillagauge::gateway {
namespace {

constexpr seconds line_interval{1};

/// The parts of sockets and memory that the calls of other machines may take, and what they get at least.
constexpr std::size_t peer_socket_divisor = 5;
constexpr std::size_t peer_memory_divisor = 8;
constexpr std::size_t least_peers = 8;
constexpr std::size_t item_memory_divisor = 4;
constexpr std::size_t least_message_bytes = std::size_t{1} << 20U;

/// Of the system; 0 if it sets none.
std::size_t system_descriptors()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return 0;
    }
    return static_cast<std::size_t>(limit.rlim_cur);
}

net::process_resources resources_of(const config::gateway_settings& settings)
{
    net::process_resources resources;
    resources.memory_bytes = settings.memory_bytes;
    resources.descriptors = system_descriptors();
    if (settings.file_descriptors > 0 &&
        (resources.descriptors == 0 || settings.file_descriptors < resources.descriptors)) {
        resources.descriptors = settings.file_descriptors;
    }
    return resources;
}

} // namespace

net::account_limits connection_limits(const config::gateway_settings& settings)
{
    return net::limits_within(resources_of(settings));
}

std::size_t batch_item_limit(const config::gateway_settings& settings)
{
    return settings.memory_bytes / item_memory_divisor;
}

wire::peer_limits peer_limits(const config::gateway_settings& settings)
{
    const auto resources = resources_of(settings);
    wire::peer_limits limits;
    if (resources.descriptors > 0) {
        const auto part = net::sockets_within(resources.descriptors) / peer_socket_divisor;
        limits.connections = std::clamp(part, least_peers, limits.connections);
    }
    if (resources.memory_bytes > 0) {
        const auto part = resources.memory_bytes / peer_memory_divisor;
        limits.message_bytes = std::clamp(part, least_message_bytes, limits.message_bytes);
    }
    return limits;
}

void connection_reporter::on_event(net::account_event event, std::size_t open_connections, time_point now)
{
    counts_.add("connections_closed_total{why=\"" + std::string(net::name(event)) + "\"}");
    ++unlogged_;
    if (now < next_line_) {
        return;
    }
    next_line_ = now + line_interval;
    observe::log(observe::log_level::warning, "connections_closed",
                 {{"why", std::string(net::name(event))},
                  {"closed", std::exchange(unlogged_, 0)},
                  {"open", static_cast<std::int64_t>(open_connections)}});
}

} // namespace vanillagauge::gateway
