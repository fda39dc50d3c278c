#include "gateway/connection_limits.hpp"

#include "observe/log.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <string>
#include <utility>

namespace vanillagauge::gateway {
namespace {

constexpr seconds line_interval{1};

/// Of the system; 0 if it sets none.
std::size_t system_descriptors()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return 0;
    }
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace

net::account_limits connection_limits(const config::gateway_settings& settings)
{
    net::process_resources resources;
    resources.memory_bytes = settings.memory_bytes;
    resources.descriptors = system_descriptors();
    if (settings.file_descriptors > 0 &&
        (resources.descriptors == 0 || settings.file_descriptors < resources.descriptors)) {
        resources.descriptors = settings.file_descriptors;
    }
    return net::limits_within(resources);
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
