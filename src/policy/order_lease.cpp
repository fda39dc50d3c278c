#include "policy/order_lease.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

constexpr int renewals_a_lease = 3;
/// The safety margin is at most a fifth of the lease.
constexpr int margin_share = 5;
constexpr milliseconds store_retry{500};
/// Tolerates clock drift between VMs over one lease.
constexpr milliseconds clock_margin{200};

} // namespace

// Failure: all VMs lose power, and the holder's new process waits for the lease of its own dead predecessor
// to expire; no orders for six seconds, and steps that need the new weights stall. So a VM that finds itself
// stored as the holder continues at once. The earlier process may have been waiting for another VM's last
// orders to arrive: the lease stores the remaining wait, which is counted again from this read.
void order_lease::on_read(const stored_lease& lease, time_point now)
{
    request_pending_ = false;
    state_known_ = true;
    ever_read_ = true;
    if (lease.version != version_ || version_since_ == time_point{}) {
        version_since_ = now;
    }
    const bool own_return = lease.holder.empty() && lease.previous_holder == options_.self;
    holder_ = own_return ? options_.self : lease.holder;
    version_ = lease.version;
    if (names_self()) {
        orders_from_ = std::max(orders_from_, now + lease.takeover_wait);
        next_renewal_ = now;
    }
}

// A stopping holder releases its lease after its last order, so a successor need not wait for it to expire.
std::optional<std::uint64_t> order_lease::release(time_point now)
{
    const bool held = now < lease_end_;
    candidate_ = false;
    lease_end_ = time_point{};
    return held ? std::optional(version_) : std::nullopt;
}

// After a takeover the previous holder's last order must have arrived before the first one is sent.
time_point order_lease::first_order_at() const
{
    const bool taken_over = holder_ != options_.self && version_ != 0;
    if (!taken_over) {
        return orders_from_;
    }
    const auto lapse = holder_.empty() ? milliseconds{0} : options_.ttl;
    return version_since_ + lapse + options_.max_order_time;
}

milliseconds order_lease::takeover_wait(time_point now) const
{
    const auto left = std::chrono::ceil<milliseconds>(first_order_at() - now);
    return std::max(left, milliseconds{0});
}

// A lease taken over from another VM does not allow orders yet: that holder may have sent its last one at the
// end of its lease, and orders of two holders must not overlap.
void order_lease::on_written(std::uint64_t version, time_point requested_at)
{
    request_pending_ = false;
    orders_from_ = first_order_at();
    holder_ = options_.self;
    version_ = version;
    version_since_ = requested_at;
    lease_end_ = requested_at + options_.ttl;
    next_renewal_ = requested_at + options_.ttl / renewals_a_lease;
}

void order_lease::on_conflict()
{
    request_pending_ = false;
    state_known_ = false;
    lease_end_ = time_point{};
}

void order_lease::on_failed(time_point now)
{
    request_pending_ = false;
    state_known_ = false;
    next_try_ = now + store_retry;
}

// An immediate read starts the expiry wait for the current version now; at the next regular attempt it would
// start up to one lease later.
void order_lease::invalidate()
{
    state_known_ = false;
}

// The steady clock stops while the machine is suspended, so a resumed holder would still trust its lease.
// Whoever asks first ends it for all: the lease must expire first, like another VM's.
bool order_lease::observe_clocks(time_point now, duration boot)
{
    if (!suspensions_.was_suspended(now, boot)) {
        return false;
    }
    state_known_ = false;
    lease_end_ = time_point{};
    return true;
}

// The holder counts its lease from before the renewal request, so it ends at most one lease after anybody
// first reads that renewal. A process that has seen one version for a whole lease, by its own clock, may
// replace exactly that version: a holder that renewed meanwhile makes the write fail. Safety does not depend
// on the view of the fleet; a wrong view costs a failed write.
lease_action order_lease::next(time_point now)
{
    if (request_pending_ || now < next_try_) {
        return lease_action::none;
    }
    // Every process that the lease may already name reads it once, candidate or not.
    if (!state_known_ && (candidate_ || (eligible_ && !ever_read_))) {
        request_pending_ = true;
        return lease_action::read;
    }
    if (!state_known_ || !candidate_) {
        return lease_action::none;
    }
    if (now < next_write_at()) {
        return lease_action::none;
    }
    request_pending_ = true;
    return lease_action::write;
}

// Load pattern: a rolling restart of all VMs. A successor has to wait for the previous holder's last orders
// anyway; a holder that returns within that time continues without the wait, and is not restarted again soon.
time_point order_lease::next_write_at() const
{
    if (version_ == 0 || holder_ == options_.self) {
        return next_renewal_;
    }
    return version_since_ + (holder_.empty() ? options_.restart_time : options_.ttl + clock_margin);
}

std::optional<std::uint64_t> order_lease::fencing_token(time_point now) const
{
    const auto safety_margin = std::min(options_.safety_margin, options_.ttl / margin_share);
    const bool held = now + safety_margin < lease_end_;
    if (!candidate_ || !held || now < orders_from_) {
        return std::nullopt;
    }
    return version_;
}

} // namespace vanillagauge::policy
