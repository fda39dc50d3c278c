/// The lease that lets one process at a time send orders to engines that ignore fencing tokens. No network,
/// no clock.
#ifndef VANILLAGAUGE_POLICY_ORDER_LEASE_HPP
#define VANILLAGAUGE_POLICY_ORDER_LEASE_HPP

#include "base/clock.hpp"
#include "policy/suspension_watch.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillagauge::policy {

struct order_lease_options {
    std::string self;                  ///< this VM; one process at a time runs on it
    milliseconds ttl{3000};            ///< counted from the request of a renewal
    milliseconds max_order_time{3000}; ///< minimum time between orders of two holders
    milliseconds safety_margin{400};   ///< before the lease ends: the time an order takes to arrive
    milliseconds restart_time{2400};   ///< a stopped process is restarted within this time
};

/// The lease as stored.
struct stored_lease {
    std::string holder;            ///< a VM; empty: released
    std::string previous_holder{}; ///< who released it
    std::uint64_t version = 0;     ///< 0: no lease is stored
    milliseconds takeover_wait{0}; ///< the holder sends no orders for this long after the write
};

enum class lease_action { none, read, write };

class order_lease {
public:
    explicit order_lease(order_lease_options options) : options_(std::move(options)) {}

    /// Whether the stored lease may name this VM; if not, it is not read before this VM is a candidate.
    void set_eligible(bool eligible) { eligible_ = eligible; }
    /// Whether this process should acquire the lease once it is free.
    void on_candidate(bool candidate) { candidate_ = candidate; }
    /// Ends ordering because this process stops. Returns the version to overwrite with a released lease; none
    /// if this process does not hold the lease.
    std::optional<std::uint64_t> release(time_point now);
    void on_read(const stored_lease& lease, time_point now);
    /// A write requested at `requested_at` has succeeded.
    void on_written(std::uint64_t version, time_point requested_at);
    /// The conditional write failed: another VM holds the lease, or an earlier write succeeded unnoticed.
    void on_conflict();
    /// The call failed or timed out; a write may have succeeded.
    void on_failed(time_point now);
    /// Forces a read: the holder may have failed, or this process may be its successor now.
    void invalidate();
    /// Both clocks at one moment; `boot` includes time in suspension. Call before each `fencing_token`. True
    /// if the VM was suspended for a time that the steady clock did not count: the lease then has to be read
    /// again.
    bool observe_clocks(time_point now, duration boot);

    /// The next store call to make; its result must be reported by the matching event.
    lease_action next(time_point now);
    /// The token for orders; none: no orders. Call again after every wait.
    std::optional<std::uint64_t> fencing_token(time_point now) const;

    /// The version that the next write replaces; 0: create the lease.
    std::uint64_t expected_version() const { return version_; }
    bool holds(time_point now) const { return now < lease_end_; }
    /// Whether the stored holder is this VM, whichever process wrote it.
    bool names_self() const { return state_known_ && version_ != 0 && holder_ == options_.self; }
    /// The holder as last read; empty: unknown or none.
    const std::string& holder() const { return holder_; }
    /// The wait before the first order, as a write requested now must store it.
    milliseconds takeover_wait(time_point now) const;

private:
    order_lease_options options_;
    bool candidate_ = false;
    bool request_pending_ = false;
    bool state_known_ = false;
    bool eligible_ = true;
    bool ever_read_ = false;
    std::string holder_;
    std::uint64_t version_ = 0;
    time_point version_since_{}; ///< when this process first read the version
    time_point lease_end_{};
    time_point orders_from_{};
    time_point next_renewal_{};
    time_point next_try_{};
    suspension_watch suspensions_;

    time_point first_order_at() const;
    time_point next_write_at() const;
};

} // namespace vanillagauge::policy

#endif
