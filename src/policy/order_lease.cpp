#include "policy/order_lease.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

constexpr int renewals_a_lease = 3;
/// A short lease is used for four fifths of it at least.
constexpr int margin_share = 5;
constexpr milliseconds store_retry{500};
/// For clocks that run at slightly different speeds over one length.
constexpr milliseconds clock_margin{200};

} // namespace

// Failure: all machines lose power, and the holder's next process waits out the lease of the one before,
// which is dead; for six seconds nobody orders, and steps that want the new weights starve. So a machine that
// finds itself named goes on at once. The earlier process may itself have been waiting for another machine's
// last orders to arrive: its writing tells how long it still had to wait, counted anew from here.
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

// A stopping holder gives its lease up after its last order, so a successor need not wait for its end.
std::optional<std::uint64_t> order_lease::release(time_point now)
{
    const bool held = now < lease_end_;
    candidate_ = false;
    lease_end_ = time_point{};
    return held ? std::optional(version_) : std::nullopt;
}

// Before the first order after a take-over the last one of the other holder must have arrived.
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

// A lease taken over from another VM gives no right to order yet: the last order of that holder may have been
// sent up to the end of its lease, and two holders' orders must not follow each other closely.
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

// Read at once, the standing version is known to be unchanged from that moment on; read when the next try is
// due, a holder's end would be noticed a whole length later.
void order_lease::invalidate()
{
    state_known_ = false;
}

void order_lease::on_suspended()
{
    state_known_ = false;
    lease_end_ = time_point{};
}

// The holder's own end of the lease is counted from before it asked for the renewal, so it lies before the
// first moment at which anybody reads that renewal plus one length. Whoever has seen one version for a whole
// length, by its own clock, may replace just that version: a holder that renewed meanwhile makes the write
// fail. No view of the fleet is needed; a wrong one costs a failed write.
lease_action order_lease::next(time_point now)
{
    if (request_pending_ || now < next_try_) {
        return lease_action::none;
    }
    // Each process reads once, whoever is to hold the lease: it may be named itself.
    if (!state_known_ && (candidate_ || !ever_read_)) {
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

// Load pattern: all VMs restart in turn. A successor must wait for the last orders of the one before in any
// case; until then a holder that gave its lease up may come back and go on without that wait, and it is the
// one that will not stop again soon.
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
