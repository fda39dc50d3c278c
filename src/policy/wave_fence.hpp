/// Whether this process may order engines now, and with which fencing token.
#ifndef VANILLAGAUGE_POLICY_WAVE_FENCE_HPP
#define VANILLAGAUGE_POLICY_WAVE_FENCE_HPP

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillagauge::policy {

struct fence_settings {
    std::string self;                  ///< id of this run of the process
    bool enforced = false;             ///< the engines reject old fencing tokens
    milliseconds lease_ttl{3000};      ///< the holder sends no orders after it
    milliseconds max_order_time{5000}; ///< after this, an order has completed or failed
};

enum class fence_action { none, read, write };

/// Uses a lease in the Object API; while that is unavailable, the view of the fleet replaces it.
class wave_fence {
public:
    explicit wave_fence(fence_settings settings) : settings_(std::move(settings)) {}

    /// `updated`: when the view was received; `selected`: it names this process for the deployment.
    void on_view(bool selected, time_point updated, time_point now);
    /// The stored lease; version 0: none.
    void on_read(const std::string& holder, std::uint64_t version, time_point now);
    /// The write succeeded. The lease starts at `requested_at`, as the response may have been delayed.
    void on_written(std::uint64_t version, time_point requested_at);
    void on_conflict();
    /// The call failed or timed out; a write may have succeeded.
    void on_failed(time_point now);
    /// An engine reported the highest token that it has seen.
    void on_fencing_token(std::uint64_t seen);

    /// The next store call to make; its result must be reported by the matching event.
    fence_action next(time_point now);
    /// The token for orders; none: no orders. Call again after every wait: it detects a pause.
    std::optional<std::uint64_t> fencing_token(time_point now) const;

    std::uint64_t expected_version() const { return stored_version_; }
    milliseconds takeover_wait() const { return settings_.lease_ttl + settings_.max_order_time; }

private:
    enum class store_state { unknown, available, unavailable };
    fence_settings settings_;
    bool selected_ = false;
    time_point selected_since_{};
    time_point view_updated_{};
    store_state store_ = store_state::unknown;
    bool state_known_ = false; ///< `stored_version_` is current as far as this process knows
    bool request_pending_ = false;
    bool was_unheld_ = false; ///< the lease had no holder when it was read
    std::uint64_t stored_version_ = 0;
    std::uint64_t fencing_token_ = 0;
    time_point lease_end_{};
    time_point next_write_{};
    time_point next_try_{};

    bool takeover_wait_over(time_point now) const { return now >= selected_since_ + takeover_wait(); }
};

} // namespace vanillagauge::policy

#endif
