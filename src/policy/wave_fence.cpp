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

// Another process took the lease: no orders until it has been read and the takeover wait is over.
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

// A holder that resumes after a pause has stale state; its orders would load old weights on engines that a
// successor has updated. Engines that enforce fencing tokens reject them. For engines that ignore tokens,
// three checks by this process's own clock must pass before each order: the view is younger than one lease,
// the stored lease has not expired, and the previous holder's lease and longest order are over. While the
// store is unavailable no lease can be renewed, and without orders the engines would fall behind the
// announced versions and stall every step; the view then replaces the lease, after the same wait. Two
// partitioned nodes may both send orders in an outage; both order the newest version they know, and engines
// report the versions they use, so this costs duplicate work, not correctness.
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
