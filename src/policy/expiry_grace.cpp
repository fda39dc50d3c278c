#include "policy/expiry_grace.hpp"

#include "policy/copy_age.hpp"

#include <algorithm>

namespace vanillagauge::policy {
namespace {

/// Where the store serves anyone, all gateways know of an answer after a shorter time without one.
constexpr milliseconds min_outage{1500};
static_assert(min_outage > refresh_age + hop_allowance);

/// Entries that expired are renewed within two seconds of the store's return if their replicas are alive.
constexpr milliseconds renewal_time{2200};

} // namespace

// A failure that a peer had may be told after a later one of this gateway.
void expiry_grace::on_failure(time_point failed_at)
{
    last_failure_ = last_failure_ ? std::max(*last_failure_, failed_at) : failed_at;
}

// A replica that leaves without draining and an entry that expired while the store was away look alike; using
// the first breaks the drain, dropping the second refuses requests. A failed call alone does not tell them
// apart: the store may be out of reach for one gateway only. Nor does the lack of answers: the gateways may
// have been held up, so that none asked. So the store counts as having been away only where calls failed and
// no gateway had an answer.
void expiry_grace::on_answer(time_point requested_at)
{
    if (last_answer_ && requested_at <= *last_answer_) {
        return;
    }
    const bool failed = last_answer_ && last_failure_ && *last_failure_ > *last_answer_;
    if (failed && requested_at - *last_answer_ >= min_outage) {
        ends_at_ = requested_at + renewal_time;
    }
    last_answer_ = requested_at;
}

} // namespace vanillagauge::policy
