#include "policy/wave_fence.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

constexpr int renewals_a_lease = 3;
constexpr milliseconds store_retry{1000};

} // namespace

void wave_fence::on_view(bool selected, time_point updated, time_point now)
{
    if (selected && !selected_) {
        selected_since_ = now;
    }
    selected_ = selected;
    view_updated_ = updated;
}

void wave_fence::on_read(const std::string& holder, std::uint64_t version, time_point now)
{
    request_pending_ = false;
    state_known_ = true;
    store_ = store_state::available;
    stored_version_ = version;
    fencing_token_ = std::max(fencing_token_, version);
    was_unheld_ = version == 0 || (holder == settings_.self && lease_end_ > now);
}

void wave_fence::on_written(std::uint64_t version, time_point requested_at)
{
    request_pending_ = false;
    store_ = store_state::available;
    stored_version_ = version;
    fencing_token_ = std::max(fencing_token_, version);
    lease_end_ = requested_at + settings_.lease_ttl;
    next_write_ = requested_at + settings_.lease_ttl / renewals_a_lease;
}

// Somebody else took the lease: nothing is ordered until it has been read and waited out.
void wave_fence::on_conflict()
{
    request_pending_ = false;
    state_known_ = false;
    store_ = store_state::available;
    lease_end_ = time_point{};
    was_unheld_ = false;
}

void wave_fence::on_failed(time_point now)
{
    request_pending_ = false;
    state_known_ = false;
    store_ = store_state::unavailable;
    next_try_ = now + store_retry;
}

void wave_fence::on_fencing_token(std::uint64_t seen)
{
    fencing_token_ = std::max(fencing_token_, seen);
}

fence_action wave_fence::next(time_point now)
{
    if (!selected_ || request_pending_ || now < next_try_) {
        return fence_action::none;
    }
    if (!state_known_) {
        request_pending_ = true;
        return fence_action::read;
    }
    const bool may_take = settings_.enforced || was_unheld_ || takeover_wait_over(now) || lease_end_ > now;
    if (!may_take || now < next_write_) {
        return fence_action::none;
    }
    request_pending_ = true;
    return fence_action::write;
}

// A paused holder wakes and believes what it believed; an order of its would load old weights on engines that
// a successor has moved on. Engines that enforce the number refuse it. For those that ignore it, three checks
// of this process's own clock must pass right before each order: the view was heard within a lease, the lease
// in the store has not ended, and whoever held it before has been waited out, with its longest order. While
// the store fails no lease can be renewed, and without orders the trainers' versions would leave the engines
// behind and stall every step; then the view stands in, after the same wait. Two nodes cut off from each
// other in an outage may both order; both order the newest version announced to them and labels come from the
// engines, so the price is work, not a promise.
std::optional<std::uint64_t> wave_fence::fencing_token(time_point now) const
{
    if (!selected_ || now >= view_updated_ + settings_.lease_ttl) {
        return std::nullopt;
    }
    const bool held = now < lease_end_;
    if (held && (settings_.enforced || was_unheld_ || takeover_wait_over(now))) {
        return fencing_token_;
    }
    if (store_ == store_state::unavailable && takeover_wait_over(now)) {
        return fencing_token_;
    }
    return std::nullopt;
}

} // namespace vanillagauge::policy
