#include "policy/wave_fence.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

constexpr int renewals_a_lease = 3;
constexpr milliseconds store_retry{1000};

} // namespace

void wave_fence::on_view(bool ours, time_point updated, time_point now)
{
    if (ours && !ours_) {
        ours_since_ = now;
    }
    ours_ = ours;
    view_updated_ = updated;
}

void wave_fence::on_read(const std::string& holder, std::uint64_t version, time_point now)
{
    busy_ = false;
    known_ = true;
    store_ = store_state::answers;
    stored_version_ = version;
    number_ = std::max(number_, version);
    was_free_ = version == 0 || (holder == settings_.self && lease_end_ > now);
}

void wave_fence::on_written(std::uint64_t version, time_point asked)
{
    busy_ = false;
    store_ = store_state::answers;
    stored_version_ = version;
    number_ = std::max(number_, version);
    lease_end_ = asked + settings_.lease;
    next_write_ = asked + settings_.lease / renewals_a_lease;
}

// Somebody else took the lease: nothing is ordered until it has been read and waited out.
void wave_fence::on_conflict()
{
    busy_ = false;
    known_ = false;
    store_ = store_state::answers;
    lease_end_ = time_point{};
    was_free_ = false;
}

void wave_fence::on_failed(time_point now)
{
    busy_ = false;
    known_ = false;
    store_ = store_state::fails;
    next_try_ = now + store_retry;
}

void wave_fence::on_number(std::uint64_t seen)
{
    number_ = std::max(number_, seen);
}

fence_action wave_fence::next(time_point now)
{
    if (!ours_ || busy_ || now < next_try_) {
        return fence_action::none;
    }
    if (!known_) {
        busy_ = true;
        return fence_action::read;
    }
    const bool may_take = settings_.enforced || was_free_ || waited_out(now) || lease_end_ > now;
    if (!may_take || now < next_write_) {
        return fence_action::none;
    }
    busy_ = true;
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
std::optional<std::uint64_t> wave_fence::may_order(time_point now) const
{
    if (!ours_ || now >= view_updated_ + settings_.lease) {
        return std::nullopt;
    }
    const bool held = now < lease_end_;
    if (held && (settings_.enforced || was_free_ || waited_out(now))) {
        return number_;
    }
    if (store_ == store_state::fails && waited_out(now)) {
        return number_;
    }
    return std::nullopt;
}

} // namespace vanillagauge::policy
