/// The lease of the one gateway that orders weights and reports usage.
#ifndef VANILLAGAUGE_GATEWAY_DUTY_LEASE_HPP
#define VANILLAGAUGE_GATEWAY_DUTY_LEASE_HPP

#include "config/settings.hpp"
#include "gateway/fleet_view.hpp"
#include "gateway/object_store.hpp"
#include "policy/order_lease.hpp"

#include <optional>
#include <string>

namespace vanillagauge::gateway {

/// All duties share one lease, so that one token and one renewal serve them all.
class duty_lease {
public:
    /// All must outlive it.
    duty_lease(net::loop& loop, object_store& store, const fleet_view& fleet,
               const config::settings& settings);

    void start();
    /// Releases the lease; from now on there is no token.
    void stop();

    /// The token for calls on behalf of a duty; none: make no such call. Ask again after every wait, directly
    /// before the call.
    std::optional<std::uint64_t> fencing_token();

    /// Gateways ranked as holders; the first takes the lease when it is free.
    const std::vector<std::string>& ranked_holders() const;

private:
    net::loop& loop_;
    object_store& store_;
    const fleet_view& fleet_;
    std::string self_; ///< this VM in the lease, with its address: a replacement VM may reuse the name
    policy::order_lease lease_;
    time_point started_;
    bool holder_alive_ = false; ///< according to the fleet view
    bool ranked_first_ = false; ///< ranked first among the possible successors of a failed holder
    bool stopped_ = false;

    void check_suspension();
    void update_candidate(time_point now);
    net::task<void> watch_candidates();
    net::task<void> maintain();
    net::task<void> read();
    net::task<void> write();
    net::task<void> release(std::uint64_t version, milliseconds takeover_wait);
};

} // namespace vanillagauge::gateway

#endif
