#include "net/byte_budget.hpp"

#include <algorithm>
#include <limits>

namespace vanillagauge::net {
namespace {

/// Large bodies leave one part in so many to small ones.
constexpr std::size_t small_share_divisor = 4;

/// Weight of the newest body in the mean time that large ones take room.
constexpr int mean_divisor = 4;

/// Bodies that come in slowly take room for long, and others leave meanwhile.
constexpr milliseconds max_expected_wait{5000};

} // namespace

std::size_t byte_budget::limit_for(std::size_t body_bytes) const
{
    if (total_ == 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    return body_bytes <= small_body_bytes ? total_ : total_ - total_ / small_share_divisor;
}

const byte_budget* byte_budget::lacking(std::size_t bytes, std::size_t body_bytes) const
{
    const auto limit = limit_for(body_bytes);
    if (held_ > limit || bytes > limit - held_) {
        return this;
    }
    return whole_ ? whole_->lacking(bytes, body_bytes) : nullptr;
}

void byte_budget::add(std::size_t bytes)
{
    held_ += bytes;
    if (whole_) {
        whole_->add(bytes);
    }
}

bool byte_budget::take(std::size_t bytes, std::size_t body_bytes)
{
    if (!has_room(bytes, body_bytes)) {
        return false;
    }
    add(bytes);
    return true;
}

void byte_budget::give_back(std::size_t bytes, duration held)
{
    held_ -= bytes;
    if (whole_) {
        whole_->give_back(bytes, held);
    }
    if (bytes > small_body_bytes) {
        mean_hold_ += (held - mean_hold_) / mean_divisor;
    }
}

// All that is held becomes free within the mean time, so a part of it does within that part of the time.
duration byte_budget::expected_wait(std::size_t body_bytes) const
{
    const auto limit = limit_for(body_bytes);
    const auto room = limit - std::min(held_, limit);
    const auto for_whole = whole_ ? whole_->expected_wait(body_bytes) : duration{0};
    if (body_bytes <= room) {
        return for_whole;
    }
    const auto missing = static_cast<double>(body_bytes - room);
    const auto part = std::min(missing / static_cast<double>(std::max<std::size_t>(held_, 1)), 1.0);
    const auto wait = std::chrono::duration_cast<duration>(mean_hold_ * part);
    return std::max(for_whole, std::min<duration>(wait, max_expected_wait));
}

void byte_reservation::shrink_to(std::size_t bytes)
{
    if (bytes >= bytes_) {
        return;
    }
    const auto given_back = bytes_ - bytes;
    bytes_ = bytes;
    if (budget_) {
        budget_->give_back(given_back, steady::now() - since_);
    }
}

bool byte_reservation::grow_or_be_first(std::size_t bytes)
{
    if (grow_to(bytes)) {
        return true;
    }
    if (budget_->held() > 0) {
        return false;
    }
    budget_->add(bytes);
    bytes_ = bytes;
    since_ = steady::now();
    return true;
}

bool byte_reservation::grow_to(std::size_t bytes)
{
    if (bytes <= bytes_) {
        return true;
    }
    if (budget_ && !budget_->take(bytes - bytes_, bytes)) {
        return false;
    }
    if (bytes_ == 0) {
        since_ = steady::now();
    }
    bytes_ = bytes;
    return true;
}

} // namespace vanillagauge::net
