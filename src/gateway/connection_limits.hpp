/// The bounds on what clients may take of this process, and what is told of those that met one.
#ifndef VANILLAGAUGE_GATEWAY_CONNECTION_LIMITS_HPP
#define VANILLAGAUGE_GATEWAY_CONNECTION_LIMITS_HPP

#include "config/settings.hpp"
#include "net/connection_account.hpp"
#include "observe/metrics.hpp"
#include "wire/peer_server.hpp"

#include <cstdint>

namespace vanillagauge::gateway {

/// By the settings, and by the system's own limit on descriptors.
net::account_limits connection_limits(const config::gateway_settings& settings);
/// What the items of batches may take; 0: no limit.
std::size_t batch_item_limit(const config::gateway_settings& settings);
/// Of the calls between machines, which have an address of their own.
wire::peer_limits peer_limits(const config::gateway_settings& settings);

/// Counts the account's events, and logs at most one line a second.
class connection_reporter {
public:
    /// `counts` must outlive the reporter.
    explicit connection_reporter(observe::metrics& counts) : counts_(counts) {}

    void on_event(net::account_event event, std::size_t open_connections, time_point now);

private:
    observe::metrics& counts_;
    std::int64_t unlogged_ = 0; ///< events since the last line
    time_point next_line_{};
};

} // namespace vanillagauge::gateway

#endif
