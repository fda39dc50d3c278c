/// Whether this process may order engines now, and with which fencing number.
#ifndef VANILLAGAUGE_POLICY_WAVE_FENCE_HPP
#define VANILLAGAUGE_POLICY_WAVE_FENCE_HPP

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillagauge::policy {

struct fence_settings {
    std::string self;                  ///< of this life of the process
    bool enforced = false;             ///< the engines refuse an old fencing number
    milliseconds lease_ttl{3000};      ///< the holder stops when it is over
    milliseconds max_order_time{5000}; ///< after which an order is done or has failed
};

enum class fence_action { none, read, write };

/// A lease in the Object API while it answers; through an outage the view of the fleet stands in for it.
class wave_fence {
public:
    explicit wave_fence(fence_settings settings) : settings_(std::move(settings)) {}

    // Events.
    /// `updated`: when the view was heard; `selected`: it names this process for the deployment.
    void on_view(bool selected, time_point updated, time_point now);
    /// The lease as stored; version 0: there is none.
    void on_read(const std::string& holder, std::uint64_t version, time_point now);
    /// The write took effect. `requested_at` begins the lease: the answer may have been long under way.
    void on_written(std::uint64_t version, time_point requested_at);
    void on_conflict();
    /// The store did not answer, or not in time to tell.
    void on_failed(time_point now);
    /// An engine told the highest number that it has seen.
    void on_fencing_token(std::uint64_t seen);

    // Decisions.
    /// What to do at the store; the event that answers it must follow.
    fence_action next(time_point now);
    /// The number to order with. Ask again after every wait: a pause shows only there.
    std::optional<std::uint64_t> fencing_token(time_point now) const;

    // Queries.
    std::uint64_t expected_version() const { return stored_version_; }
    milliseconds takeover_wait() const { return settings_.lease_ttl + settings_.max_order_time; }

private:
    enum class store_state { unknown, available, unavailable };
    fence_settings settings_;
    bool selected_ = false;
    time_point selected_since_{};
    time_point view_updated_{};
    store_state store_ = store_state::unknown;
    bool state_known_ = false; ///< `stored_version_` is what the store holds, as far as this process knows
    bool request_pending_ = false;
    bool was_unheld_ = false; ///< nobody held the lease when it was read
    std::uint64_t stored_version_ = 0;
    std::uint64_t fencing_token_ = 0;
    time_point lease_end_{};
    time_point next_write_{};
    time_point next_try_{};

    bool takeover_wait_over(time_point now) const { return now >= selected_since_ + takeover_wait(); }
};

} // namespace vanillagauge::policy

#endif
