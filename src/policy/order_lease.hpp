/// The lease under which one process at a time orders engines that ignore fencing numbers. No network, no
/// clock.
#ifndef VANILLAGAUGE_POLICY_ORDER_LEASE_HPP
#define VANILLAGAUGE_POLICY_ORDER_LEASE_HPP

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillagauge::policy {

struct order_lease_options {
    std::string self;                  ///< the VM; its processes follow each other
    milliseconds ttl{3000};            ///< from the asking of a renewal
    milliseconds max_order_time{3000}; ///< orders of two holders lie at least this far apart
    milliseconds safety_margin{400};   ///< the end of the lease: an order takes that long to arrive
    milliseconds restart_time{2400};   ///< a process that stopped is started again within it
};

/// The lease as it stands in the store.
struct stored_lease {
    std::string holder;            ///< a VM; empty: it was given up
    std::string previous_holder{}; ///< who gave it up
    std::uint64_t version = 0;     ///< 0: there is none
    milliseconds takeover_wait{0}; ///< from the writing on, the holder orders nothing for so long
};

enum class lease_action { none, read, write };

class order_lease {
public:
    explicit order_lease(order_lease_options options) : options_(std::move(options)) {}

    // Events.
    /// Whether this process is the one to hold the lease once nobody else does.
    void on_candidate(bool candidate) { candidate_ = candidate; }
    /// This process stops: it orders nothing any more. The version to replace by a lease without a holder;
    /// none where this process holds none.
    std::optional<std::uint64_t> release(time_point now);
    void on_read(const stored_lease& lease, time_point now);
    /// A write took effect that was asked for at `requested_at`.
    void on_written(std::uint64_t version, time_point requested_at);
    /// The write's condition failed: the lease is another's, or a write thought lost has been done.
    void on_conflict();
    /// The store did not answer, or not in time to tell.
    void on_failed(time_point now);
    /// The holder may have gone, or this process may have become the one to follow it.
    void invalidate();
    /// The machine stood still for a while that the steady clock did not count.
    void on_suspended();

    // Decisions.
    /// What to do at the store; the event that answers it must follow.
    lease_action next(time_point now);
    /// The number to order with. To be asked again after every wait.
    std::optional<std::uint64_t> fencing_token(time_point now) const;

    // Queries.
    /// What the next write replaces; 0: the lease is to be created.
    std::uint64_t expected_version() const { return version_; }
    bool holds(time_point now) const { return now < lease_end_; }
    /// The store names this VM, whichever of its processes wrote that.
    bool names_self() const { return state_known_ && version_ != 0 && holder_ == options_.self; }
    /// As last read: a VM; empty: not known, or nobody.
    const std::string& holder() const { return holder_; }
    /// What a write that is asked for now tells of the wait before the first order.
    milliseconds takeover_wait(time_point now) const;

private:
    order_lease_options options_;
    bool candidate_ = false;
    bool request_pending_ = false;
    bool state_known_ = false;
    bool ever_read_ = false;
    std::string holder_;
    std::uint64_t version_ = 0;
    time_point version_since_{}; ///< when this version was first read here
    time_point lease_end_{};
    time_point orders_from_{};
    time_point next_renewal_{};
    time_point next_try_{};

    time_point first_order_at() const;
    time_point next_write_at() const;
};

} // namespace vanillagauge::policy

#endif
